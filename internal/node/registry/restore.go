package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Restore merges the brokers that this machine knew before its process started. They weigh no more
// than another node's report: loading marks are dropped, liveness is not taken from them, and the
// initial full sync with other nodes still follows.
func (r *Registry) Restore(now core.Time, instances []*nodepb.Instance) []core.Output {
	for _, instance := range instances {
		restored := deepCopy(instance)
		restored.LoadingFencingToken = 0
		r.merge(now, restored, ignoreLiveness)
	}
	return r.takeOutputs()
}
