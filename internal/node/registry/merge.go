package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// merge merges what a heartbeat or a message says of a broker. It returns the record, nil where none is kept, and whether
// anything changed that other nodes are to know.
func (r *Registry) merge(now core.Time, incoming *nodepb.Instance, trust livenessTrust) (*record, bool) {
	rec := r.records[incoming.Id]
	if rec == nil {
		return r.createRecord(now, incoming)
	}
	previous := r.topics[keyOf(rec.reported)]
	wasGone := rec.gone()
	coldBefore := rec.warmingUpUntil
	rec.mergeState(now, incoming)
	rec.mergeContent(now, incoming)
	rec.mergeRevision(now, incoming)
	rec.mergeLiveness(now, incoming, trust)
	changed := r.updateTopic(now, rec, previous)
	if !wasGone && rec.gone() {
		r.countTombstone(rec)
		changed = true
	}
	if changed {
		r.watchExpiry(rec)
	}
	coldMoved := differByMoreThan(max(rec.warmingUpUntil, now), max(coldBefore, now), warmUpTolerance)
	if !changed && coldMoved && !rec.gone() {
		r.refreshTableEntry(now, rec)
	}
	return rec, changed
}

func (r *Registry) createRecord(now core.Time, incoming *nodepb.Instance) (*record, bool) {
	if expiredOnArrival(incoming) {
		return nil, false
	}
	rec := &record{
		reported:        shallowCopy(incoming),
		sequence:        incoming.Sequence,
		revision:        incoming.Revision,
		loadingToken:    incoming.LoadingFence,
		loadingSince:    now,
		learnedAt:       now,
		lastHeartbeatAt: distantPast,
		refutedAt:       distantPast,
		warmingUpUntil:  now + duration(incoming.ColdRemainingMs),
	}
	if rec.gone() {
		rec.goneAt = now - duration(incoming.SilentMs)
	} else if incoming.SilentMs > 0 {
		rec.unresponsive = true
		rec.unresponsiveSince = now - duration(incoming.SilentMs)
	}
	r.records[incoming.Id] = rec
	r.updateTopic(now, rec, nil)
	if rec.gone() {
		r.countTombstone(rec)
	}
	r.watchExpiry(rec)
	return rec, true
}

// expiredOnArrival reports whether a broker that is not known here would be forgotten at once.
func expiredOnArrival(incoming *nodepb.Instance) bool {
	if incoming.State == nodepb.InstanceState_GONE {
		return duration(incoming.SilentMs) >= tombstoneRetention
	}
	return duration(incoming.SilentMs) >= unresponsiveRetention
}

func (r *Registry) countTombstone(rec *record) {
	r.tombstoneCount++
	if r.tombstoneCount > maxTombstones {
		r.dropOldestTombstone(rec)
	}
}

// supersede marks brokers as gone whose address another life has taken: a broker that is heard for the first time has
// started there after them. It returns their ids.
func (r *Registry) supersede(now core.Time, newcomer *record) []string {
	var ids []string
	for id, rec := range r.records {
		if rec == newcomer || rec.gone() || rec.reported.Address != newcomer.reported.Address {
			continue
		}
		gone := rec.message(now)
		gone.State = nodepb.InstanceState_GONE
		gone.SilentMs = 0
		r.merge(now, gone, ignoreLiveness)
		ids = append(ids, id)
	}
	return ids
}

func differByMoreThan(a, b, tolerance core.Time) bool {
	difference := a - b
	return difference > tolerance || difference < -tolerance
}
