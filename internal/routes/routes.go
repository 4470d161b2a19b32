// Package routes finds what an operator has said about a call: by its path, the longest match first, and among equals by
// its metadata. It is pure, and a table does not change once it is made: a new one takes its place, and calls keep the
// route that they began under.
package routes

import (
	"encoding/base64"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"strings"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// Commit tells what of a response the client may see before a repeat is ruled out.
type Commit uint8

// When an attempt is committed: from then on no other may take its place.
const (
	AtMessage Commit = iota // with its first message: initial metadata waits for that
	AtHeaders               // with its initial metadata, for clients that wait for it before they send
	AtEnd                   // with its end, as long as it fits the hold
)

// Condition is one on metadata: a key that must be there, with this value where one is given.
type Condition struct {
	Key, Value string
	Any        bool // any value will do
}

// Shard tells where a call's shard stands. Exactly one of Metadata and Fixed counts: Fixed where Metadata is empty.
type Shard struct {
	Metadata string // the key of metadata that tells it
	Hash     string // "": its value is the number; else fnv1a or xxh64 of its value, modulo Blocks
	Blocks   int
	Fixed    int
}

// Route is what an operator has said of some calls.
type Route struct {
	Name        string
	Service     string // the path is one of Service with Method, Service alone, or Prefix, which begins with a slash
	Method      string
	Prefix      string
	Metadata    []Condition
	Kind        int    // query type
	Customer    int    // where CustomerKey tells none
	CustomerKey string // the key of metadata that names the customer
	Shard       Shard
	KeyOf       string  // the key of metadata that tells what a call is about, for servers that remember
	Timeout     float64 // client timeout in ms where the call names none
	TimeoutMost float64 // and at most, whatever it names
	Message     int     // bytes of a message, either way
	Repeat      int     // bytes of the request kept for a repeat
	Hold        int     // bytes of a response held back with AtEnd
	Commit      Commit
	Work        float64 // hinted work in ms, 0: none
	Unseen      uint32  // statuses, a bit each, that servers give on this route only to calls that they have not run
}

// Lookup gives the first value of a call's metadata by its key, in lower case.
type Lookup func(key string) (value string, found bool)

// Conflict names two routes of which either might be meant.
type Conflict struct{ First, Second int }

// Error names the two routes.
func (e *Conflict) Error() string {
	return fmt.Sprintf("routes %d and %d match the same calls, and neither is the longer", e.First, e.Second)
}

// Table is a radix tree over paths. Its nodes lie in one slice, in the order of the paths, so that a look-up touches few
// cache lines and allocates nothing.
type Table struct {
	nodes  []node
	labels string
	routes []*Route
	refs   []int32 // routes by node: prefixes first, then exact ones, each by the number of conditions, most first
}

type node struct {
	label, labelEnd     int32 // in labels
	child, childEnd     int32 // in nodes, by their first byte
	prefix, exact, last int32 // in refs: [prefix, exact) and [exact, last)
}

// pattern gives a route's path and whether it is the whole of it.
func (r *Route) pattern() (path string, exact bool) {
	switch {
	case r.Service != "" && r.Method != "":
		return "/" + r.Service + "/" + r.Method, true
	case r.Service != "":
		return "/" + r.Service + "/", false
	}
	return r.Prefix, false
}

// New makes a table, or says which two routes can't be told apart.
func New(list []*Route) (*Table, error) {
	order := make([]int, len(list))
	paths := make([]string, len(list))
	exact := make([]bool, len(list))
	for i, r := range list {
		order[i] = i
		paths[i], exact[i] = r.pattern()
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if paths[a] != paths[b] {
			return paths[a] < paths[b]
		}
		if exact[a] != exact[b] {
			return exact[b]
		}
		return len(list[a].Metadata) > len(list[b].Metadata)
	})
	for i := range order {
		for j := i + 1; j < len(order); j++ {
			a, b := order[i], order[j]
			if paths[a] != paths[b] || exact[a] != exact[b] || len(list[a].Metadata) != len(list[b].Metadata) {
				break
			}
			if !apart(list[a], list[b]) {
				return nil, &Conflict{min(a, b), max(a, b)}
			}
		}
	}
	t := &Table{routes: list, nodes: make([]node, 1, 2*len(list)+1)}
	var labels strings.Builder
	t.build(&labels, 0, order, paths, exact, 0)
	t.labels = labels.String()
	return t, nil
}

// apart: no call can match both, as they want one key to have two values.
func apart(a, b *Route) bool {
	for _, x := range a.Metadata {
		for _, y := range b.Metadata {
			if x.Key == y.Key && !x.Any && !y.Any && x.Value != y.Value {
				return true
			}
		}
	}
	return false
}

// build fills one node with the routes whose paths agree up to a depth. They are in order.
func (t *Table) build(labels *strings.Builder, at int, order []int, paths []string, exact []bool, depth int) {
	n := node{label: int32(labels.Len())}
	if len(order) > 0 {
		first, last := paths[order[0]], paths[order[len(order)-1]]
		end := depth
		for end < len(first) && end < len(last) && first[end] == last[end] {
			end++
		}
		if at == 0 {
			end = 0
		}
		labels.WriteString(first[depth:end])
		depth = end
	}
	n.labelEnd = int32(labels.Len())
	n.prefix = int32(len(t.refs))
	for len(order) > 0 && len(paths[order[0]]) == depth && !exact[order[0]] {
		t.refs = append(t.refs, int32(order[0]))
		order = order[1:]
	}
	n.exact = int32(len(t.refs))
	for len(order) > 0 && len(paths[order[0]]) == depth {
		t.refs = append(t.refs, int32(order[0]))
		order = order[1:]
	}
	n.last = int32(len(t.refs))
	var groups [][]int
	for len(order) > 0 {
		end := 1
		for end < len(order) && paths[order[end]][depth] == paths[order[0]][depth] {
			end++
		}
		groups = append(groups, order[:end])
		order = order[end:]
	}
	n.child = int32(len(t.nodes))
	t.nodes = append(t.nodes, make([]node, len(groups))...)
	n.childEnd = int32(len(t.nodes))
	t.nodes[at] = n
	for i, g := range groups {
		t.build(labels, int(n.child)+i, g, paths, exact, depth)
	}
}

const deepest = 64 // prefixes of one path that are remembered on the way down; past them the shortest are left out

// Find gives the route of a call, or nil: the exact path first, then the longest prefix; of one path the route with most
// conditions that all hold.
func (t *Table) Find(path string, meta Lookup) *Route {
	var stack [deepest]int32
	depth, at, rest := 0, int32(0), path
	for {
		n := &t.nodes[at]
		if n.prefix < n.exact {
			stack[depth%deepest] = at
			depth++
		}
		if rest == "" {
			if r := t.first(n.exact, n.last, meta); r != nil {
				return r
			}
			break
		}
		child := t.down(n, rest[0])
		if child < 0 {
			break
		}
		c := &t.nodes[child]
		label := t.labels[c.label:c.labelEnd]
		if !strings.HasPrefix(rest, label) {
			break
		}
		at, rest = child, rest[len(label):]
	}
	for i := depth - 1; i >= max(depth-deepest, 0); i-- {
		n := &t.nodes[stack[i%deepest]]
		if r := t.first(n.prefix, n.exact, meta); r != nil {
			return r
		}
	}
	return nil
}

func (t *Table) down(n *node, first byte) int32 {
	low, high := n.child, n.childEnd
	for low < high {
		mid := (low + high) / 2
		switch b := t.labels[t.nodes[mid].label]; {
		case b == first:
			return mid
		case b < first:
			low = mid + 1
		default:
			high = mid
		}
	}
	return -1
}

func (t *Table) first(from, to int32, meta Lookup) *Route {
	for _, i := range t.refs[from:to] {
		if r := t.routes[i]; r.meets(meta) {
			return r
		}
	}
	return nil
}

func (r *Route) meets(meta Lookup) bool {
	for _, c := range r.Metadata {
		if v, found := meta(c.Key); !found || !c.Any && v != c.Value {
			return false
		}
	}
	return true
}

// Len counts the routes.
func (t *Table) Len() int { return len(t.routes) }

// Same tells whether another table says the same of calls.
func (t *Table) Same(other *Table) bool {
	return other != nil && slices.EqualFunc(t.routes, other.routes, func(a, b *Route) bool { return fmt.Sprint(*a) == fmt.Sprint(*b) })
}

// ShardOf finds a call's shard, or says why there is none. shards is how many there are.
func (r *Route) ShardOf(meta Lookup, shards int) (int, error) {
	s := &r.Shard
	if s.Metadata == "" {
		return s.Fixed, nil
	}
	v, found := meta(s.Metadata)
	if !found {
		return 0, fmt.Errorf("no metadata %s, which tells the shard", s.Metadata)
	}
	if s.Hash != "" {
		return int(Hash(s.Hash, plainOf(s.Metadata, v)) % uint64(max(s.Blocks, 1))), nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n >= shards {
		return 0, fmt.Errorf("metadata %s is no shard from 0 to %d", s.Metadata, shards-1)
	}
	return n, nil
}

// About is the hash of what a call is about, or 0.
func (r *Route) About(meta Lookup) uint64 {
	if r.KeyOf == "" {
		return 0
	}
	v, found := meta(r.KeyOf)
	if !found {
		return 0
	}
	return Hash("fnv1a", plainOf(r.KeyOf, v))
}

// plainOf undoes the base64 of binary metadata: the same bytes are the same key, padded or not.
func plainOf(key, v string) string {
	if !strings.HasSuffix(key, "-bin") {
		return v
	}
	if b, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(v, "=")); err == nil {
		return string(b)
	}
	return v
}

// Hash is one of those that an operator may name: 64-bit FNV-1a or XXH64 with seed 0.
func Hash(name, v string) uint64 {
	if name == "xxh64" {
		return xxhash.Sum64String(v)
	}
	h := fnv.New64a()
	h.Write([]byte(v))
	return h.Sum64()
}

// bytes is what the table takes beside its routes.
func (t *Table) bytes() int {
	return cap(t.nodes)*int(unsafe.Sizeof(node{})) + len(t.labels) + 4*cap(t.refs) + 8*cap(t.routes)
}
