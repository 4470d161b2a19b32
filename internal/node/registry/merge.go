package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// learn merges what a heartbeat or a message says of a broker. It returns the record, nil where none is kept, and whether
// anything changed that other nodes are to know.
func (r *Registry) learn(now core.Time, incoming *nodepb.Instance, trust silenceTrust) (*record, bool) {
	rec := r.records[incoming.Id]
	if rec == nil {
		return r.create(now, incoming)
	}
	previous := r.topics[keyOf(rec.told)]
	wasGone := rec.gone()
	coldBefore := rec.coldUntil
	rec.mergeState(now, incoming)
	rec.mergeContent(now, incoming)
	rec.mergeRevision(now, incoming)
	rec.mergeSilence(now, incoming, trust)
	changed := r.place(now, rec, previous)
	if !wasGone && rec.gone() {
		r.wentGone(rec)
		changed = true
	}
	if changed {
		r.watchExpiry(rec)
	}
	coldMoved := differBy(max(rec.coldUntil, now), max(coldBefore, now), coldTolerance)
	if !changed && coldMoved && !rec.gone() {
		r.refreshPicture(now, rec)
	}
	return rec, changed
}

func (r *Registry) create(now core.Time, incoming *nodepb.Instance) (*record, bool) {
	if tooOld(incoming) {
		return nil, false
	}
	rec := &record{
		told:         shallowCopy(incoming),
		sequence:     incoming.Sequence,
		revision:     incoming.Revision,
		loadingFence: incoming.LoadingFence,
		loadingSince: now,
		learned:      now,
		heard:        distantPast,
		refuted:      distantPast,
		coldUntil:    now + duration(incoming.ColdRemainingMs),
	}
	if rec.gone() {
		rec.goneAt = now - duration(incoming.SilentMs)
	} else if incoming.SilentMs > 0 {
		rec.silent = true
		rec.silentFrom = now - duration(incoming.SilentMs)
	}
	r.records[incoming.Id] = rec
	r.place(now, rec, nil)
	if rec.gone() {
		r.wentGone(rec)
	}
	r.watchExpiry(rec)
	return rec, true
}

// tooOld reports whether a broker that is not known here would be forgotten at once.
func tooOld(incoming *nodepb.Instance) bool {
	if incoming.State == nodepb.InstanceState_GONE {
		return duration(incoming.SilentMs) >= tombstoneLife
	}
	return duration(incoming.SilentMs) >= forgetSilentAfter
}

func (r *Registry) wentGone(rec *record) {
	r.gone++
	if r.gone > tombstoneLimit {
		r.dropOldestGone(rec)
	}
}

// supersede marks brokers as gone whose address another life has taken: a broker that is heard for the first time has
// started there after them. It returns their ids.
func (r *Registry) supersede(now core.Time, newcomer *record) []string {
	var ids []string
	for id, rec := range r.records {
		if rec == newcomer || rec.gone() || rec.told.Address != newcomer.told.Address {
			continue
		}
		gone := rec.message(now)
		gone.State = nodepb.InstanceState_GONE
		gone.SilentMs = 0
		r.learn(now, gone, trustNothing)
		ids = append(ids, id)
	}
	return ids
}

func differBy(a, b, tolerance core.Time) bool {
	difference := a - b
	return difference > tolerance || difference < -tolerance
}
