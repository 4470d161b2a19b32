package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// merge merges a heartbeat or another node's message about a broker. It returns the record, nil if
// none is kept, and whether anything changed that other nodes must learn. The result doesn't depend
// on the order of messages: each part of a record has its own order (state, sequence, revision).
func (r *Registry) merge(now core.Time, incoming *nodepb.Instance, trust livenessTrust) (*record, bool) {
	rec := r.records[incoming.Id]
	if rec == nil {
		return r.createRecord(now, incoming)
	}
	previous := r.topics[keyOf(rec.reported)]
	wasGone := rec.gone()
	previousWarmUpEnd := rec.warmingUpUntil
	rec.mergeState(now, incoming)
	rec.mergeContent(now, incoming)
	rec.mergeRevision(now, incoming)
	rec.mergeLiveness(now, incoming, trust)
	changed := r.updateTopic(now, rec, previous)
	r.watchPersistence(rec)
	if !wasGone && rec.gone() {
		r.countTombstone(rec)
		changed = true
	}
	if changed {
		r.watchExpiry(rec)
	}
	// An end in the past counts as now: the heartbeats of a warm broker leave the table as it is.
	warmUpMoved := differByMoreThan(max(rec.warmingUpUntil, now), max(previousWarmUpEnd, now), warmUpTolerance)
	if !changed && warmUpMoved && !rec.gone() {
		r.refreshTableEntry(now, rec)
	}
	return rec, changed
}

// createRecord adds the record of a broker that this node does not know.
func (r *Registry) createRecord(now core.Time, incoming *nodepb.Instance) (*record, bool) {
	if expiredOnArrival(incoming) {
		return nil, false
	}
	rec := &record{
		reported:        shallowCopy(incoming),
		sequence:        incoming.Sequence,
		revision:        incoming.Revision,
		loadingToken:    incoming.LoadingFencingToken,
		loadingSince:    now,
		learnedAt:       now,
		lastHeartbeatAt: distantPast,
		refutedAt:       distantPast,
		warmingUpUntil:  now + core.Duration(incoming.WarmUpRemainingMs),
	}
	if rec.gone() {
		rec.goneAt = now - core.Duration(incoming.SinceHeartbeatMs)
	} else if incoming.SinceHeartbeatMs > 0 {
		rec.unresponsive = true
		rec.unresponsiveSince = now - core.Duration(incoming.SinceHeartbeatMs)
	}
	r.records[incoming.Id] = rec
	r.updateTopic(now, rec, nil)
	r.watchPersistence(rec)
	if rec.gone() {
		r.countTombstone(rec)
	}
	r.watchExpiry(rec)
	return rec, true
}

// expiredOnArrival reports whether the record of an unknown broker would expire at once.
func expiredOnArrival(incoming *nodepb.Instance) bool {
	if incoming.State == nodepb.InstanceState_GONE {
		return core.Duration(incoming.SinceHeartbeatMs) >= tombstoneRetention
	}
	return core.Duration(incoming.SinceHeartbeatMs) >= unresponsiveRetention
}

// countTombstone counts a record that has just become a tombstone, and keeps their number bounded.
func (r *Registry) countTombstone(rec *record) {
	r.tombstoneCount++
	if r.tombstoneCount > maxTombstones {
		r.dropOldestTombstone(rec)
	}
}

// supersede marks the older incarnations at a newcomer's address as gone and returns their ids. A
// broker whose first heartbeat arrives has started at the address after all others that were there.
func (r *Registry) supersede(now core.Time, newcomer *record) []string {
	var ids []string
	for id, rec := range r.records {
		if rec == newcomer || rec.gone() || rec.reported.Address != newcomer.reported.Address {
			continue
		}
		gone := rec.message(now)
		gone.State = nodepb.InstanceState_GONE
		gone.SinceHeartbeatMs = 0
		r.merge(now, gone, ignoreLiveness)
		ids = append(ids, id)
	}
	return ids
}

// differByMoreThan reports whether two times are further apart than the tolerance.
func differByMoreThan(a, b, tolerance core.Time) bool {
	difference := a - b
	return difference > tolerance || difference < -tolerance
}
