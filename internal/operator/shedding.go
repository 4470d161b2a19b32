package operator

import (
	"fmt"
	"strconv"

	"kestrelspread/internal/fleet/shedding"
)

// settings returns the weights by which load is shed, or nil where names are unknown or given twice.
func (f *orderFile) settings(names *settingNames, found *Findings) *shedding.Weights {
	before := len(*found)
	config := shedding.Config{RetryWeight: f.Retries}
	firstPaths := map[int]string{} // by query type
	for i, group := range f.Types {
		var types []int
		for j, name := range group {
			path := fmt.Sprintf("/order/types/%d/%d", i, j)
			queryType := found.index(path, name, names.queryTypes, "query type")
			if first, twice := firstPaths[queryType]; twice {
				found.add(path, "stands at %s already", first)
			}
			firstPaths[queryType] = path
			types = append(types, queryType)
		}
		config.ShedFirst = append(config.ShedFirst, types)
	}
	for i, name := range f.Bulk {
		customer := found.index("/order/bulk-customers/"+strconv.Itoa(i), name, names.customers, "customer")
		config.BulkCustomers = append(config.BulkCustomers, customer)
	}
	if len(*found) > before {
		return nil
	}
	weights := shedding.NewWeights(names.values, names.customerCount, config)
	return &weights
}

// index finds a name among those of the broker's settings.
func (f *Findings) index(path, name string, among map[string]int, what string) int {
	index, known := among[name]
	if !known {
		f.add(path, "the settings name no %s %q", what, name)
	}
	return index
}
