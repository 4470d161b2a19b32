package routes

import (
	"fmt"
	"slices"
	"strings"
)

// maxPrefixes is how many prefixes of one path Find remembers on its way down the tree. Beyond them
// the shortest are forgotten.
const maxPrefixes = 64

// Table is a radix tree over paths. Its nodes lie in one slice, in the order of their paths, so that a
// look-up touches few cache lines and allocates nothing.
type Table struct {
	nodes  []node // the root first
	labels string // of all nodes
	routes []*Route
	// routeRefs are indices of routes, by node: routes with a prefix, then those with an exact path,
	// both by the number of conditions, most first.
	routeRefs []int32
}

// node is a node of the tree. All ranges are half open.
type node struct {
	labelStart, labelEnd             int32 // in labels
	childStart, childEnd             int32 // in nodes, by the first byte of their labels
	prefixStart, exactStart, refsEnd int32 // in routeRefs: prefixes to exactStart, then exact paths
}

// Find returns the route of a call, or nil.
func (t *Table) Find(path string, metadata Lookup) *Route {
	var prefixes prefixStack
	index, rest := int32(0), path
	for {
		n := &t.nodes[index]
		if n.prefixStart < n.exactStart {
			prefixes.push(index)
		}
		if rest == "" {
			if r := t.firstMatch(n.exactStart, n.refsEnd, metadata); r != nil {
				return r
			}
			break
		}
		next := t.child(n, rest[0])
		if next < 0 {
			break
		}
		label := t.label(&t.nodes[next])
		if !strings.HasPrefix(rest, label) {
			break
		}
		index, rest = next, rest[len(label):]
	}
	for !prefixes.empty() {
		n := &t.nodes[prefixes.pop()]
		if r := t.firstMatch(n.prefixStart, n.exactStart, metadata); r != nil {
			return r
		}
	}
	return nil
}

// prefixStack holds the nodes with prefix routes on the way down, the latest maxPrefixes of them.
type prefixStack struct {
	nodes [maxPrefixes]int32
	depth int // that were pushed and not popped, forgotten ones included
	floor int // below it they are forgotten
}

func (s *prefixStack) push(index int32) {
	s.nodes[s.depth%maxPrefixes] = index
	s.depth++
	s.floor = max(s.depth-maxPrefixes, 0)
}

func (s *prefixStack) pop() int32 {
	s.depth--
	return s.nodes[s.depth%maxPrefixes]
}

func (s *prefixStack) empty() bool { return s.depth == s.floor }

func (t *Table) label(n *node) string { return t.labels[n.labelStart:n.labelEnd] }

// child returns the index of the child whose label begins with a byte, or -1.
func (t *Table) child(n *node, first byte) int32 {
	low, high := n.childStart, n.childEnd
	for low < high {
		middle := (low + high) / 2
		switch b := t.labels[t.nodes[middle].labelStart]; {
		case b == first:
			return middle
		case b < first:
			low = middle + 1
		default:
			high = middle
		}
	}
	return -1
}

// firstMatch returns the first route of a range of routeRefs whose conditions hold, or nil.
func (t *Table) firstMatch(start, end int32, metadata Lookup) *Route {
	for _, i := range t.routeRefs[start:end] {
		if r := t.routes[i]; r.matchesMetadata(metadata) {
			return r
		}
	}
	return nil
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// Equal reports whether two tables have the same routes in the same order.
func (t *Table) Equal(other *Table) bool {
	return other != nil && slices.EqualFunc(t.routes, other.routes, func(a, b *Route) bool {
		return fmt.Sprint(*a) == fmt.Sprint(*b)
	})
}
