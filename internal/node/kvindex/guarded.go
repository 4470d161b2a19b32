package kvindex

import (
	"sync"

	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// Guarded protects an Index with a mutex, since the router reads it while the control loop applies
// changes. Every call holds the mutex only briefly.
type Guarded struct {
	mutex   sync.Mutex
	index   *Index
	results []prefixcache.Holder // copy of the latest result of Index.Holders, which the index may overwrite
}

var _ prefixcache.Index = (*Guarded)(nil)

// NewGuarded wraps an index. The caller must no longer use the index directly.
func NewGuarded(index *Index) *Guarded { return &Guarded{index: index} }

// Holders calls Index.Holders. The list is valid only until the next call of Holders, so its callers
// must not run concurrently; the router serialises its calls.
func (g *Guarded) Holders(salt uint64, parts []prompt.Part) []prefixcache.Holder {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.results = append(g.results[:0], g.index.Holders(salt, parts)...)
	return g.results
}

// Observed calls the method of the same name of the index.
func (g *Guarded) Observed(name string, salt uint64, parts []prompt.Part) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.index.Observed(name, salt, parts)
}

// Update calls change with the index while holding the mutex. The function must not retain the index.
func (g *Guarded) Update(change func(*Index)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(g.index)
}
