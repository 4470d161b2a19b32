package llmbroker

import (
	"sync"
	"time"
)

// FirstVersion is the version of weights that nobody has to name.
const FirstVersion = 1

// Weights are the versions of models' weights that have been named, which brokers can load. Brokers of one model share
// it with the operator.
type Weights struct {
	mutex  sync.Mutex
	newest map[string]uint64
	named  map[string]map[uint64]time.Time
}

// NewWeights returns weights of which each model has the first version only.
func NewWeights() *Weights {
	return &Weights{newest: map[string]uint64{}, named: map[string]map[uint64]time.Time{}}
}

// Name makes a version of a model known to brokers.
func (w *Weights) Name(model string, version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.named[model] == nil {
		w.named[model] = map[uint64]time.Time{}
	}
	w.named[model][version] = time.Now()
	w.newest[model] = max(w.newest[model], version)
}

// Newest is the newest version of a model: what a new broker starts with.
func (w *Weights) Newest(model string) uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return max(w.newest[model], FirstVersion)
}

// has reports whether a version was named.
func (w *Weights) has(model string, version uint64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, named := w.named[model][version]
	return named || version == FirstVersion
}
