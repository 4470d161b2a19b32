package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// silenceTrust says what a message's word on a broker's silence counts for.
type silenceTrust uint8

const (
	trustNothing silenceTrust = iota // it knows no better than this node
	trustSilence                     // it comes from who watches, or hears, the broker
)

// mergeSilence takes another node's word on whether the broker is silent, unless this node has heard it itself in the meantime.
func (r *record) mergeSilence(now core.Time, incoming *nodepb.Instance, trust silenceTrust) {
	if trust == trustNothing || r.gone() {
		return
	}
	if incoming.SilentMs == 0 {
		r.silent = false
		return
	}
	lastHeard := now - duration(incoming.SilentMs)
	if r.heard > lastHeard {
		return
	}
	r.silent = true
	r.silentFrom = lastHeard
}

// refutes reports whether this node has heard, of itself, a broker that another takes for silent.
func (r *Registry) refutes(now core.Time, rec *record, incoming *nodepb.Instance) bool {
	if incoming.SilentMs == 0 || rec.gone() || rec.silent {
		return false
	}
	return now-rec.heard < r.options.silentAfter() && now-rec.refuted >= refuteEvery
}

// watchSilence sees to it that a topic of which this node is the home is checked.
func (r *Registry) watchSilence(now core.Time, t *topic) {
	if t.home.self {
		r.nextSilenceCheck = min(r.nextSilenceCheck, now+r.options.silentAfter())
	}
}

// excuseSilence is called after this node was stopped: what it did not hear in that time says nothing.
func (r *Registry) excuseSilence(now core.Time) {
	for _, t := range r.topics {
		t.homeSince = now
		t.doubtFrom = 0
	}
	if r.nextSilenceCheck != core.Never {
		r.nextSilenceCheck = now + r.options.silentAfter()
	}
}

// checkSilence marks the brokers that this node is the home of and that it has not heard for too long.
func (r *Registry) checkSilence(now core.Time) {
	r.nextSilenceCheck = core.Never
	for _, t := range r.topics {
		if t.home.self {
			r.checkTopic(now, t)
		}
	}
}

func (r *Registry) checkTopic(now core.Time, t *topic) {
	watch := r.surveyTopic(now, t)
	if watch.live > 0 {
		r.nextSilenceCheck = min(r.nextSilenceCheck, max(watch.oldest+r.options.silentAfter(), now+silentGrace))
	}
	if len(watch.overdue) == 0 {
		t.doubtFrom = 0
		return
	}
	if r.doubts(now, t, watch) {
		r.nextSilenceCheck = min(r.nextSilenceCheck, now+doubtRecheck)
		return
	}
	for _, rec := range watch.overdue {
		r.markSilent(now, t, rec)
	}
}

// survey is how the brokers of a topic have been heard.
type survey struct {
	live    int       // not marked as silent
	missing int       // of them, those that missed two beats or more
	overdue []*record // of them, those that are to be marked
	oldest  core.Time // the oldest last heartbeat among the live that are not overdue
}

func (r *Registry) surveyTopic(now core.Time, t *topic) survey {
	found := survey{oldest: now}
	overdueBefore := now - r.options.silentAfter()
	missingBefore := overdueBefore + r.options.heartbeat()
	for _, rec := range t.records {
		if rec.gone() || rec.silent {
			continue
		}
		found.live++
		last := t.lastHeard(rec)
		if last <= missingBefore {
			found.missing++
		}
		if last <= overdueBefore {
			found.overdue = append(found.overdue, rec)
			continue
		}
		found.oldest = min(found.oldest, last)
	}
	return found
}

// lastHeard is from when on a broker's silence counts.
func (t *topic) lastHeard(rec *record) core.Time { return max(rec.heard, rec.learned, t.homeSince) }

// doubts reports whether so many fell silent at once that the trouble is likely this node's own. After a while it
// gives in: brokers that are heard elsewhere are defended by who hears them.
func (r *Registry) doubts(now core.Time, t *topic, watch survey) bool {
	if watch.live < doubtMinimum || watch.missing*2 <= watch.live {
		t.doubtFrom = 0
		return false
	}
	if t.doubtFrom == 0 {
		t.doubtFrom = now
	}
	return now-t.doubtFrom < doubtLimit
}

func (r *Registry) markSilent(now core.Time, t *topic, rec *record) {
	rec.silent = true
	rec.silentFrom = t.lastHeard(rec)
	r.place(now, rec, t)
	r.watchExpiry(rec)
	r.enqueue(now, rec.told.Id, batchDelay)
}
