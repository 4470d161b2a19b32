package llmbroker

import (
	"sync"
	"time"
)

// FirstVersion is the version of weights that need not be published.
const FirstVersion = 1

// Weights are the published versions of models' weights, which brokers can load. The brokers of a model share it with the operator.
type Weights struct {
	mutex       sync.Mutex
	newest      map[string]uint64
	publishedAt map[string]map[uint64]time.Time
}

// NewWeights returns weights with the first version of each model alone.
func NewWeights() *Weights {
	return &Weights{newest: map[string]uint64{}, publishedAt: map[string]map[uint64]time.Time{}}
}

// Publish makes a version of a model available to brokers.
func (w *Weights) Publish(model string, version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.publishedAt[model] == nil {
		w.publishedAt[model] = map[uint64]time.Time{}
	}
	w.publishedAt[model][version] = time.Now()
	w.newest[model] = max(w.newest[model], version)
}

// Newest is the newest version of a model: what a new broker starts with.
func (w *Weights) Newest(model string) uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return max(w.newest[model], FirstVersion)
}

// has reports whether a version was published.
func (w *Weights) has(model string, version uint64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, published := w.publishedAt[model][version]
	return published || version == FirstVersion
}
