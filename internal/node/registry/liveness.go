package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// livenessTrust says what a message's word on a broker's silence counts for.
type livenessTrust uint8

const (
	ignoreLiveness livenessTrust = iota // it knows no better than this node
	trustLiveness                       // it comes from who watches, or hears, the broker
)

// mergeLiveness takes another node's word on whether the broker is silent, unless this node has heard it itself in the meantime.
func (r *record) mergeLiveness(now core.Time, incoming *nodepb.Instance, trust livenessTrust) {
	if trust == ignoreLiveness || r.gone() {
		return
	}
	if incoming.SilentMs == 0 {
		r.unresponsive = false
		return
	}
	lastHeard := now - duration(incoming.SilentMs)
	if r.lastHeartbeatAt > lastHeard {
		return
	}
	r.unresponsive = true
	r.unresponsiveSince = lastHeard
}

// refutes reports whether this node has heard, of itself, a broker that another takes for silent.
func (r *Registry) refutes(now core.Time, rec *record, incoming *nodepb.Instance) bool {
	if incoming.SilentMs == 0 || rec.gone() || rec.unresponsive {
		return false
	}
	return now-rec.lastHeartbeatAt < r.options.heartbeatTimeout() && now-rec.refutedAt >= refuteInterval
}

// scheduleLivenessCheck sees to it that a topic of which this node is the home is checked.
func (r *Registry) scheduleLivenessCheck(now core.Time, t *topic) {
	if t.home.self {
		r.nextLivenessCheck = min(r.nextLivenessCheck, now+r.options.heartbeatTimeout())
	}
}

// resetLivenessAfterStall is called after this node was stopped: what it did not hear in that time says nothing.
func (r *Registry) resetLivenessAfterStall(now core.Time) {
	for _, t := range r.topics {
		t.homeSince = now
		t.selfPreservationSince = 0
	}
	if r.nextLivenessCheck != core.Never {
		r.nextLivenessCheck = now + r.options.heartbeatTimeout()
	}
}

// checkLiveness marks the brokers that this node is the home of and that it has not heard for too long.
func (r *Registry) checkLiveness(now core.Time) {
	r.nextLivenessCheck = core.Never
	for _, t := range r.topics {
		if t.home.self {
			r.checkTopicLiveness(now, t)
		}
	}
}

func (r *Registry) checkTopicLiveness(now core.Time, t *topic) {
	watch := r.surveyTopic(now, t)
	if watch.live > 0 {
		r.nextLivenessCheck = min(r.nextLivenessCheck, max(watch.oldestContact+r.options.heartbeatTimeout(), now+timeoutGrace))
	}
	if len(watch.overdue) == 0 {
		t.selfPreservationSince = 0
		return
	}
	if r.updateSelfPreservation(now, t, watch) {
		r.nextLivenessCheck = min(r.nextLivenessCheck, now+selfPreservationRecheck)
		return
	}
	for _, rec := range watch.overdue {
		r.markUnresponsive(now, t, rec)
	}
}

// livenessSurvey is how the brokers of a topic have been heard.
type livenessSurvey struct {
	live          int       // not marked as silent
	missing       int       // of them, those that missed two beats or more
	overdue       []*record // of them, those that are to be marked
	oldestContact core.Time // the oldest last heartbeat among the live that are not overdue
}

func (r *Registry) surveyTopic(now core.Time, t *topic) livenessSurvey {
	found := livenessSurvey{oldestContact: now}
	overdueBefore := now - r.options.heartbeatTimeout()
	missingBefore := overdueBefore + r.options.heartbeatInterval()
	for _, rec := range t.records {
		if rec.gone() || rec.unresponsive {
			continue
		}
		found.live++
		last := t.lastContact(rec)
		if last <= missingBefore {
			found.missing++
		}
		if last <= overdueBefore {
			found.overdue = append(found.overdue, rec)
			continue
		}
		found.oldestContact = min(found.oldestContact, last)
	}
	return found
}

// lastContact is from when on a broker's silence counts.
func (t *topic) lastContact(rec *record) core.Time {
	return max(rec.lastHeartbeatAt, rec.learnedAt, t.homeSince)
}

// updateSelfPreservation reports whether so many fell silent at once that the trouble is likely this node's own. After a while it
// gives in: brokers that are heard elsewhere are defended by who hears them.
func (r *Registry) updateSelfPreservation(now core.Time, t *topic, watch livenessSurvey) bool {
	if watch.live < selfPreservationMinBrokers || watch.missing*2 <= watch.live {
		t.selfPreservationSince = 0
		return false
	}
	if t.selfPreservationSince == 0 {
		t.selfPreservationSince = now
	}
	return now-t.selfPreservationSince < selfPreservationLimit
}

func (r *Registry) markUnresponsive(now core.Time, t *topic, rec *record) {
	rec.unresponsive = true
	rec.unresponsiveSince = t.lastContact(rec)
	r.updateTopic(now, rec, t)
	r.watchExpiry(rec)
	r.scheduleBroadcast(now, rec.reported.Id, batchDelay)
}
