package kvindex

import (
	"sync"

	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// Guarded serialises the calls to an Index with a mutex: the router reads it while the control loop
// applies changes. Each call is short.
type Guarded struct {
	mutex   sync.Mutex
	index   *Index
	results []prefixcache.Holder // a copy of the Index's, which the next change may overwrite
}

var _ prefixcache.Index = (*Guarded)(nil)

// NewGuarded wraps an index, which must no longer be used directly.
func NewGuarded(index *Index) *Guarded { return &Guarded{index: index} }

// Holders is Index.Holders. Its callers must be serialised among themselves, as the router's are, as
// the list is valid until the next call.
func (g *Guarded) Holders(salt uint64, parts []prompt.Part) []prefixcache.Holder {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.results = append(g.results[:0], g.index.Holders(salt, parts)...)
	return g.results
}

// Observed is Index.Observed.
func (g *Guarded) Observed(name string, salt uint64, parts []prompt.Part) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.index.Observed(name, salt, parts)
}

// Update runs a change of the index. The function must not retain it.
func (g *Guarded) Update(change func(*Index)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(g.index)
}
