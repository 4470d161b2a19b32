// Package shedding defines the order in which searches are rejected when not all of them can be served. From the settings and
// the operator's file it derives the weight of each search, and describes the resulting order as text, so that an on-call
// engineer can read it before an overload happens. The decision module decides by these weights which searches it rejects, and
// when. The package is pure: it does no I/O and keeps no state.
package shedding

import (
	"fmt"
	"sort"
	"strings"
)

// Config is the order of rejection that the operator has configured. Its zero value orders query types by their values alone.
type Config struct {
	// ShedFirst holds groups of query types, by index, in the order in which they are rejected. Types in no group are rejected
	// after them, the lowest value first.
	ShedFirst [][]int
	// BulkCustomers holds the customers, by index, whose searches are rejected before all others, whatever their type.
	BulkCustomers []int
	// RetryWeight is the factor, up to 1, on the weight of a search that its client marks as a retry; 0: no reduction.
	RetryWeight float64
}

// Weights holds the weights by which searches are ordered: the search with the lowest weight is rejected first.
type Weights struct {
	Types       []float64 // by query type; 1: rejected last
	Customers   []float64 // by customer: factor on the weight of the type
	RetryWeight float64   // factor on the weight of a retry
	groups      [][]int   // groups of query types in the order in which they are rejected
}

// NewWeights derives the weights from the values of the query types, the number of customers and the operator's order. The
// weights of the groups are evenly spaced, so that the decision module has the same room between any two neighboring groups.
func NewWeights(values []float64, customers int, c Config) Weights {
	w := Weights{
		Types:       make([]float64, len(values)),
		Customers:   make([]float64, customers),
		RetryWeight: 1,
		groups:      groupTypes(values, c.ShedFirst),
	}
	if c.RetryWeight > 0 {
		w.RetryWeight = c.RetryWeight
	}
	groups := float64(len(w.groups))
	for i, group := range w.groups {
		for _, queryType := range group {
			w.Types[queryType] = float64(i+1) / groups
		}
	}
	for customer := range w.Customers {
		w.Customers[customer] = 1
	}
	for _, customer := range c.BulkCustomers {
		w.Customers[customer] = 1 / (2 * groups) // even bulk searches of the last group weigh less than other searches of the first
	}
	return w
}

// groupTypes assigns each query type to one group: first the operator's groups, then one group for each value of the other types.
func groupTypes(values []float64, shedFirst [][]int) (groups [][]int) {
	placed := make([]bool, len(values))
	for _, listed := range shedFirst {
		var group []int
		for _, queryType := range listed {
			if !placed[queryType] {
				placed[queryType] = true
				group = append(group, queryType)
			}
		}
		if len(group) > 0 {
			groups = append(groups, group)
		}
	}
	var rest []int
	for queryType := range values {
		if !placed[queryType] {
			rest = append(rest, queryType)
		}
	}
	sort.SliceStable(rest, func(i, j int) bool { return values[rest[i]] < values[rest[j]] })
	for i, queryType := range rest {
		if i > 0 && values[rest[i-1]] == values[queryType] {
			last := len(groups) - 1
			groups[last] = append(groups[last], queryType)
			continue
		}
		groups = append(groups, []int{queryType})
	}
	return groups
}

// Module is the part of policy.Decider that takes the weights.
type Module interface {
	SetPriority(queryType int, weight float64)
	SetCustomerWeight(customer int, share float64)
	SetRetryWeight(share float64)
}

// Apply passes the weights to the module. It must be called after the other settings and before the module's first round.
func (w Weights) Apply(module Module) {
	for queryType, weight := range w.Types {
		module.SetPriority(queryType, weight)
	}
	for customer, weight := range w.Customers {
		module.SetCustomerWeight(customer, weight)
	}
	module.SetRetryWeight(w.RetryWeight)
}

// Describe returns the order as text, one line for each step, starting with the searches that are rejected first. It takes the
// names of the query types and of the customers.
func (w Weights) Describe(types, customers []string) (lines []string) {
	lines = append(lines, "searches without a remaining replica of their shards, and searches that can no longer meet their deadline")
	if bulk := w.bulkCustomers(customers); len(bulk) > 0 {
		lines = append(lines, "all searches from "+strings.Join(bulk, ", "))
	}
	for i, group := range w.groups {
		var names []string
		for _, queryType := range group {
			names = append(names, types[queryType])
		}
		line := strings.Join(names, ", ")
		if i == len(w.groups)-1 {
			line += " (untouched as long as the servers in reach bear it alone)"
		}
		lines = append(lines, line)
	}
	if w.RetryWeight < 1 {
		lines = append(lines, fmt.Sprintf("within each type, a search that its client marks as a retry counts with %.2f of the weight",
			w.RetryWeight))
	}
	return append(lines, "within each type, searches of a customer beyond its quota count with the reduced weight that the settings give them")
}

// bulkCustomers returns the names of the customers whose weight is reduced.
func (w Weights) bulkCustomers(names []string) (bulk []string) {
	for customer, weight := range w.Customers {
		if weight < 1 {
			bulk = append(bulk, names[customer])
		}
	}
	return bulk
}
