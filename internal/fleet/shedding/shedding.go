// Package shedding is the one written order in which searches are rejected where not all can be
// served: whoever is on call can read it before the day on which it acts. It derives from the
// settings and the operator's file with which weight each search counts. Who is rejected by that,
// and when, is the decision module's to decide. Pure.
package shedding

import (
	"fmt"
	"sort"
	"strings"
)

// Config is the operator's order.
type Config struct {
	// ShedFirst has groups of query types, by index, those rejected first in front. Types that
	// stand in no group follow, the lowest value first.
	ShedFirst [][]int
	// BulkCustomers are rejected before all others, whatever their type.
	BulkCustomers []int
	// RetryWeight is the share of its weight with which a search counts whose client says that it
	// retries; 0: as the first attempt.
	RetryWeight float64
}

// Weights are what searches count with.
type Weights struct {
	Types       []float64 // by type; 1: rejected last
	Customers   []float64 // by customer, a share of the type's
	RetryWeight float64   // of a retry, a share of that
	groups      [][]int   // of types, those rejected first in front
}

// NewWeights orders the types of the settings' values, and derives the weights. The groups'
// weights are evenly apart, which leaves the module as much room between any two of them.
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
		for _, kind := range group {
			w.Types[kind] = float64(i+1) / groups
		}
	}
	for customer := range w.Customers {
		w.Customers[customer] = 1
	}
	for _, customer := range c.BulkCustomers {
		w.Customers[customer] = 1 / (2 * groups) // bulk of the last group before all else of the first
	}
	return w
}

// groupTypes puts each type into one group: first the operator's, then one for each value.
func groupTypes(values []float64, shedFirst [][]int) (groups [][]int) {
	placed := make([]bool, len(values))
	for _, listed := range shedFirst {
		var group []int
		for _, kind := range listed {
			if !placed[kind] {
				placed[kind] = true
				group = append(group, kind)
			}
		}
		if len(group) > 0 {
			groups = append(groups, group)
		}
	}
	var rest []int
	for kind := range values {
		if !placed[kind] {
			rest = append(rest, kind)
		}
	}
	sort.SliceStable(rest, func(i, j int) bool { return values[rest[i]] < values[rest[j]] })
	for i, kind := range rest {
		if i > 0 && values[rest[i-1]] == values[kind] {
			last := len(groups) - 1
			groups[last] = append(groups[last], kind)
			continue
		}
		groups = append(groups, []int{kind})
	}
	return groups
}

// Module is what of the decision module takes weights (policy.Decider).
type Module interface {
	SetPriority(kind int, weight float64)
	SetCustomerWeight(customer int, share float64)
	SetRetryWeight(share float64)
}

// Apply hands the weights to the module, after the settings and before its first turn.
func (w Weights) Apply(module Module) {
	for kind, weight := range w.Types {
		module.SetPriority(kind, weight)
	}
	for customer, weight := range w.Customers {
		module.SetCustomerWeight(customer, weight)
	}
	module.SetRetryWeight(w.RetryWeight)
}

// Describe writes the order down, a line for each step, those rejected first in front.
func (w Weights) Describe(types, customers []string) (lines []string) {
	lines = append(lines, "what no holder is left for, and what can't be in time any more")
	if bulk := w.bulkCustomers(customers); len(bulk) > 0 {
		lines = append(lines, "all that comes from "+strings.Join(bulk, ", "))
	}
	for i, group := range w.groups {
		var names []string
		for _, kind := range group {
			names = append(names, types[kind])
		}
		line := strings.Join(names, ", ")
		if i == len(w.groups)-1 {
			line += " (untouched as long as the servers in reach bear it alone)"
		}
		lines = append(lines, line)
	}
	if w.RetryWeight < 1 {
		lines = append(lines, fmt.Sprintf("of each type, whoever says that it asks again counts with %.2f of it", w.RetryWeight))
	}
	return append(lines, "of each type, customers over their quota count with what the settings leave them beyond it")
}

func (w Weights) bulkCustomers(names []string) (bulk []string) {
	for customer, weight := range w.Customers {
		if weight < 1 {
			bulk = append(bulk, names[customer])
		}
	}
	return bulk
}
