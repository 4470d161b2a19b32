package operator

import (
	"errors"
	"strconv"

	"kestrelspread/internal/aggregator/settings"
	"kestrelspread/internal/grpcwire"
	"kestrelspread/internal/routes"
)

// defaultDeadlineMs is a query type's where the broker's settings name none.
const defaultDeadlineMs = 3000

// routes returns the table of routes, or nil where anything of the gRPC front is at fault.
func (f *grpcFile) routes(set settings.Values, names *settingNames, found *Findings) *routes.Table {
	shards := set.Int("family-info.slabs", 1)
	list := make([]*routes.Route, len(f.Routes))
	firstByName := map[string]int{}
	for i := range f.Routes {
		route := &f.Routes[i]
		path := "/grpc/routes/" + strconv.Itoa(i) + "/"
		if first, twice := firstByName[route.Name]; twice {
			found.add(path+"name", "route %d has that name", first)
		}
		firstByName[route.Name] = i
		list[i] = route.settings(path, set, names, found)
		route.checkShard(path, shards, found)
	}
	if len(*found) > 0 {
		return nil
	}
	table, err := routes.New(list)
	var conflict *routes.ConflictError
	if errors.As(err, &conflict) {
		found.add("/grpc/routes/"+strconv.Itoa(conflict.Second)+"/match",
			"matches the same calls as route %d, %q, and neither is the longer", conflict.First, list[conflict.First].Name)
		return nil
	}
	return table
}

func (f *routeFile) settings(path string, set settings.Values, names *settingNames, found *Findings) *routes.Route {
	queryType := found.index(path+"query-type", f.QueryType, names.queryTypes, "query type")
	deadlineMs := set.Float("classes."+strconv.Itoa(queryType)+".deadline-ms", defaultDeadlineMs)
	timeoutMs := valueOr(f.Timeout, deadlineMs)
	route := &routes.Route{
		Name:             f.Name,
		Service:          f.Match.Service,
		Method:           f.Match.Method,
		Prefix:           f.Match.Prefix,
		QueryType:        queryType,
		CustomerMetadata: f.Customer.Metadata,
		AffinityMetadata: f.About,
		Shard: routes.ShardRule{
			MetadataKey: f.Shard.Metadata,
			Hash:        f.Shard.Hash,
			BlockCount:  f.Shard.Blocks,
			FixedShard:  f.Shard.Fixed,
		},
		DefaultTimeout:      timeoutMs,
		MaxTimeout:          valueOr(f.TimeoutMost, max(timeoutMs, deadlineMs)),
		MaxMessageBytes:     bytesPerKB * valueOr(f.Message, 4096),
		RetryBufferBytes:    bytesPerKB * valueOr(f.Repeat, 64),
		ResponseBufferBytes: bytesPerKB * valueOr(f.Hold, 64),
		WorkHint:            f.Work,
	}
	if route.MaxTimeout < route.DefaultTimeout {
		found.add(path+"timeout-most-ms", "under timeout-ms")
	}
	if f.Customer.Name != "" {
		route.DefaultCustomer = found.index(path+"customer/name", f.Customer.Name, names.customers, "customer")
	}
	switch f.Commit {
	case "headers":
		route.CommitPoint = routes.AtHeaders
	case "end":
		route.CommitPoint = routes.AtEnd
	}
	for _, name := range f.Unseen {
		code, _ := grpcwire.StatusByName(name) // the schema lists the names
		route.RejectedUnprocessed |= 1 << code
	}
	for _, condition := range f.Match.Metadata {
		route.Metadata = append(route.Metadata, routes.Condition{
			Key:      condition.Key,
			Value:    valueOr(condition.Value, ""),
			AnyValue: condition.Value == nil,
		})
	}
	return route
}

func (f *routeFile) checkShard(path string, shards int, found *Findings) {
	if f.Shard.Fixed >= shards {
		found.add(path+"shard/fixed", "there are %d shards", shards)
	}
	if f.Shard.Blocks > shards {
		found.add(path+"shard/blocks", "there are %d shards", shards)
	}
}
