package registry

import "kestrelspread/internal/node/core"

// SetLoading marks a broker at all nodes as loading new weights, so that no new request is sent to
// it. fencingToken is that of the rollout's order; 0 clears the mark. It is called at the lease
// holder of the rollout. core.LoadingConfirmed follows: at once for an unknown broker, else when all
// available nodes have acknowledged the mark, at the latest after ackTimeout; Everywhere says which.
func (r *Registry) SetLoading(now core.Time, id string, fencingToken uint64) []core.Output {
	rec := r.records[id]
	if rec == nil || rec.gone() {
		r.outbox.Add(core.LoadingConfirmed{InstanceID: id, FencingToken: fencingToken})
		return r.takeOutputs()
	}
	// The revision rises also if nothing changes here: other nodes may hold another mark under the
	// same revision.
	rec.revision++
	rec.setLoadingToken(now, fencingToken)
	r.updateTopic(now, rec, r.topics[keyOf(rec.reported)])
	r.watchExpiry(rec)
	b := r.startBroadcast(now, []string{id}, now+ackTimeout)
	b.loadingConfirmations = append(b.loadingConfirmations, core.LoadingConfirmed{InstanceID: id, FencingToken: fencingToken})
	r.advanceBroadcast(now, b)
	return r.takeOutputs()
}

// SetModelVersion records and broadcasts that a broker has loaded a version of a model's weights,
// ahead of its next heartbeat. It does nothing for an unknown broker, and for a model that the broker
// has not reported.
func (r *Registry) SetModelVersion(now core.Time, id, model string, version uint64) []core.Output {
	rec := r.records[id]
	if rec == nil || rec.gone() {
		return nil
	}
	rec.raiseVersion(model, version)
	if r.updateTopic(now, rec, r.topics[keyOf(rec.reported)]) {
		r.scheduleBroadcast(now, id, 0)
	}
	return r.takeOutputs()
}
