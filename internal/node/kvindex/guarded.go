package kvindex

import (
	"sync"

	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// LockedIndex protects an Index with a mutex, since the router reads it while the control loop applies
// changes. Every call holds the mutex only briefly.
type LockedIndex struct {
	mutex   sync.Mutex
	index   *Index
	results []prefixcache.Holder // copy of the latest result of Index.Holders, which the index may overwrite
}

var _ prefixcache.Index = (*LockedIndex)(nil)

// NewLockedIndex wraps an index. The caller must no longer use the index directly.
func NewLockedIndex(index *Index) *LockedIndex { return &LockedIndex{index: index} }

// Holders calls Index.Holders. The list is valid only until the next call of Holders, so its callers
// must not run concurrently; the router serialises its calls.
func (g *LockedIndex) Holders(salt uint64, parts []prompt.Part) []prefixcache.Holder {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.results = append(g.results[:0], g.index.Holders(salt, parts)...)
	return g.results
}

// Observed calls the method of the same name of the index.
func (g *LockedIndex) Observed(name string, salt uint64, parts []prompt.Part) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.index.Observed(name, salt, parts)
}

// Update calls change with the index while holding the mutex. The function must not retain the index.
func (g *LockedIndex) Update(change func(*Index)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(g.index)
}
