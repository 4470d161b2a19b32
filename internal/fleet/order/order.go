// Package order is the one written order in which searches are refused where not all can be taken: whoever is on call can
// read it before the day on which it acts. It makes of the settings and the operator's file what each search counts with; who
// is refused by that, and when, is the module's to decide. Pure.
package order

import (
	"fmt"
	"sort"
	"strings"
)

// Rules are the operator's.
type Rules struct {
	First   [][]int // query types by group, those refused first in front; who stands in none follows, least valued first
	Bulk    []int   // customers whose searches are refused before everybody else's, whatever their type
	Retries float64 // share of its worth with which a search counts whose client says that it asks again; 0: as the first
}

// Worths are what searches count with. Types: 1 for those refused last. Customers: a share of that.
type Worths struct {
	Types     []float64
	Customers []float64
	Retries   float64
	groups    [][]int
}

// Of puts types in their places. values are the settings' by type, customers how many there are. Places are evenly apart:
// what lies between two of them leaves the module as much room to tell them apart at any size.
func Of(values []float64, customers int, r Rules) Worths {
	w := Worths{Types: make([]float64, len(values)), Customers: make([]float64, customers), Retries: 1}
	if r.Retries > 0 {
		w.Retries = r.Retries
	}
	placed := make([]bool, len(values))
	for _, g := range r.First {
		var group []int
		for _, k := range g {
			if !placed[k] {
				placed[k] = true
				group = append(group, k)
			}
		}
		if len(group) > 0 {
			w.groups = append(w.groups, group)
		}
	}
	var rest []int
	for k := range values {
		if !placed[k] {
			rest = append(rest, k)
		}
	}
	sort.SliceStable(rest, func(i, j int) bool { return values[rest[i]] < values[rest[j]] })
	for i, k := range rest {
		if i > 0 && values[rest[i-1]] == values[k] {
			last := len(w.groups) - 1
			w.groups[last] = append(w.groups[last], k)
			continue
		}
		w.groups = append(w.groups, []int{k})
	}
	n := float64(len(w.groups))
	for place, g := range w.groups {
		for _, k := range g {
			w.Types[k] = float64(place+1) / n
		}
	}
	for c := range w.Customers {
		w.Customers[c] = 1
	}
	for _, c := range r.Bulk {
		w.Customers[c] = 1 / (2 * n) // the last of bulk before the first of the others
	}
	return w
}

// Tell hands the order to the module, after the settings and before its first round.
func (w Worths) Tell(p interface {
	Priority(kind int, worth float64)
	CustomerWeight(customer int, share float64)
	RetryWeight(share float64)
}) {
	for k, v := range w.Types {
		p.Priority(k, v)
	}
	for c, v := range w.Customers {
		p.CustomerWeight(c, v)
	}
	p.RetryWeight(w.Retries)
}

// Text writes the order down, a line for each step, those refused first in front.
func (w Worths) Text(types, customers []string) (lines []string) {
	lines = append(lines, "what no holder is left for, and what can't be in time any more")
	var bulk []string
	for c, v := range w.Customers {
		if v < 1 {
			bulk = append(bulk, customers[c])
		}
	}
	if len(bulk) > 0 {
		lines = append(lines, "all that comes from "+strings.Join(bulk, ", "))
	}
	for i, g := range w.groups {
		var names []string
		for _, k := range g {
			names = append(names, types[k])
		}
		line := strings.Join(names, ", ")
		if i == len(w.groups)-1 {
			line += " (untouched as long as the servers in reach bear it alone)"
		}
		lines = append(lines, line)
	}
	if w.Retries < 1 {
		lines = append(lines, fmt.Sprintf("of each type, whoever says that it asks again counts with %.2f of it", w.Retries))
	}
	return append(lines, "of each type, customers over their quota count with what the settings leave them beyond it")
}
