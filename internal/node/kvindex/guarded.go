package kvindex

import (
	"sync"

	"kestrelspread/internal/node/routing"
)

// Guarded serialises the calls to an Index: the router reads it while the control loop applies changes. Each call is short.
type Guarded struct {
	mutex   sync.Mutex
	index   *Index
	results []routing.Holder
}

var _ routing.Index = (*Guarded)(nil)

// NewGuarded wraps an index, which must not be used directly any more.
func NewGuarded(index *Index) *Guarded { return &Guarded{index: index} }

// Holders is Index.Holders. Its own callers must be serialised, as the router's are.
func (g *Guarded) Holders(salt uint64, parts []routing.PromptPart) []routing.Holder {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.results = append(g.results[:0], g.index.Holders(salt, parts)...)
	return g.results
}

// Observed is Index.Observed.
func (g *Guarded) Observed(name string, salt uint64, parts []routing.PromptPart) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.index.Observed(name, salt, parts)
}

// Update runs a change of the index, which must not keep it.
func (g *Guarded) Update(change func(*Index)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(g.index)
}
