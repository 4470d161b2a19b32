package registry

import (
	"kestrelspread/internal/node/core"
)

// SetLoading marks a broker at all nodes as one that new weights are being brought to under a fence, so that no new
// request is sent to it; fence 0 takes the mark away. It is called at the holder of that duty. core.LoadingConfirmed follows once
// all nodes in touch have confirmed, or after half a second.
func (r *Registry) SetLoading(now core.Time, id string, fence uint64) []core.Output {
	rec := r.records[id]
	if rec == nil || rec.gone() {
		r.output(core.LoadingConfirmed{InstanceID: id, FencingToken: fence})
		return r.takeOutputs()
	}
	rec.revision++ // also where nothing changes here: others may hold another mark under the same revision
	rec.setFence(now, fence)
	r.place(now, rec, r.topics[keyOf(rec.told)])
	r.watchExpiry(rec)
	pending := r.startSpread(now, []string{id}, now+confirmLimit)
	pending.marks = append(pending.marks, core.LoadingConfirmed{InstanceID: id, FencingToken: fence})
	r.settle(now, pending)
	return r.takeOutputs()
}

// SetModelVersion tells all nodes that a broker now has a version of the weights of a model, before its next heartbeat
// does. Models that the broker does not name are left alone.
func (r *Registry) SetModelVersion(now core.Time, id, model string, version uint64) []core.Output {
	rec := r.records[id]
	if rec == nil || rec.gone() {
		return nil
	}
	rec.raiseVersion(model, version)
	if r.place(now, rec, r.topics[keyOf(rec.told)]) {
		r.enqueue(now, id, 0)
	}
	return r.takeOutputs()
}
