package routes

import (
	"fmt"
	"sort"
	"strings"
)

// ConflictError names two routes of a list, by their indices, that match the same calls equally well.
type ConflictError struct{ First, Second int }

// Error names the two routes.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("routes %d and %d match the same calls, and neither is the longer", e.First, e.Second)
}

// builder builds a table.
type builder struct {
	table  *Table
	labels strings.Builder
	routes []*Route
	paths  []string // by route
	exact  []bool   // by route: the path must be equal
}

// New builds a table, or returns a *ConflictError.
func New(list []*Route) (*Table, error) {
	b := &builder{
		table:  &Table{routes: list, nodes: make([]node, 1, 2*len(list)+1)},
		routes: list,
		paths:  make([]string, len(list)),
		exact:  make([]bool, len(list)),
	}
	for i, r := range list {
		b.paths[i], b.exact[i] = r.pattern()
	}
	order := b.sorted()
	if err := b.checkConflicts(order); err != nil {
		return nil, err
	}
	b.build(0, order, 0)
	b.table.labels = b.labels.String()
	return b.table, nil
}

// sorted returns the routes in the order of their paths, prefixes before exact paths, and those of one
// path by the number of conditions, most first.
func (b *builder) sorted() []int {
	order := make([]int, len(b.routes))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		x, y := order[i], order[j]
		if b.paths[x] != b.paths[y] {
			return b.paths[x] < b.paths[y]
		}
		if b.exact[x] != b.exact[y] {
			return b.exact[y]
		}
		return len(b.routes[x].Metadata) > len(b.routes[y].Metadata)
	})
	return order
}

// checkConflicts compares each sorted route with those that are equally specific.
func (b *builder) checkConflicts(order []int) error {
	for i, x := range order {
		for _, y := range order[i+1:] {
			if !b.equallySpecific(x, y) {
				break
			}
			if !disjoint(b.routes[x], b.routes[y]) {
				return &ConflictError{First: min(x, y), Second: max(x, y)}
			}
		}
	}
	return nil
}

func (b *builder) equallySpecific(x, y int) bool {
	return b.paths[x] == b.paths[y] && b.exact[x] == b.exact[y] &&
		len(b.routes[x].Metadata) == len(b.routes[y].Metadata)
}

// build fills the node at an index with sorted routes, whose paths agree up to a depth.
func (b *builder) build(index int, order []int, depth int) {
	t := b.table
	n := node{labelStart: int32(b.labels.Len())}
	if index != 0 && len(order) > 0 {
		depth = b.writeLabel(order, depth)
	}
	n.labelEnd = int32(b.labels.Len())
	n.prefixStart = int32(len(t.routeRefs))
	for len(order) > 0 && len(b.paths[order[0]]) == depth && !b.exact[order[0]] {
		t.routeRefs = append(t.routeRefs, int32(order[0]))
		order = order[1:]
	}
	n.exactStart = int32(len(t.routeRefs))
	for len(order) > 0 && len(b.paths[order[0]]) == depth {
		t.routeRefs = append(t.routeRefs, int32(order[0]))
		order = order[1:]
	}
	n.refsEnd = int32(len(t.routeRefs))
	groups := b.groupByByte(order, depth)
	n.childStart = int32(len(t.nodes))
	t.nodes = append(t.nodes, make([]node, len(groups))...)
	n.childEnd = int32(len(t.nodes))
	t.nodes[index] = n
	for i, group := range groups {
		b.build(int(n.childStart)+i, group, depth)
	}
}

// writeLabel writes what the paths have in common from a depth on, and returns where that ends. The
// paths are sorted, so that the first and the last have nothing in common that the others have not.
func (b *builder) writeLabel(order []int, depth int) int {
	first, last := b.paths[order[0]], b.paths[order[len(order)-1]]
	end := depth
	for end < len(first) && end < len(last) && first[end] == last[end] {
		end++
	}
	b.labels.WriteString(first[depth:end])
	return end
}

// groupByByte splits sorted routes by the byte of their paths at a depth.
func (b *builder) groupByByte(order []int, depth int) [][]int {
	var groups [][]int
	for len(order) > 0 {
		first := b.paths[order[0]][depth]
		end := 1
		for end < len(order) && b.paths[order[end]][depth] == first {
			end++
		}
		groups = append(groups, order[:end])
		order = order[end:]
	}
	return groups
}
