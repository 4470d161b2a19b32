package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Restore takes up brokers that this machine knew before its process started. They count for no more than another node's
// word, marks of loading are not taken over, and the first comparison with other nodes still comes.
func (r *Registry) Restore(now core.Time, instances []*nodepb.Instance) []core.Output {
	for _, instance := range instances {
		restored := deepCopy(instance)
		restored.LoadingFence = 0
		r.merge(now, restored, ignoreLiveness)
	}
	return r.takeOutputs()
}
