package registry

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// Liveness of brokers. The home node of a topic marks a broker as unresponsive when no heartbeat
// arrived within the heartbeat timeout, and broadcasts the mark. Any node that received a heartbeat
// in that time refutes it. If most of a topic times out at once, the home enters self-preservation:
// it delays the marks, as its own network is the likelier cause.

// livenessTrust says whether a message's report of a broker's liveness counts.
type livenessTrust uint8

const (
	ignoreLiveness livenessTrust = iota // the sender knows no better than this node
	trustLiveness                       // the sender is the broker's home, or received its heartbeat
)

// mergeLiveness takes over another node's report of the broker's liveness, unless this node has
// received a heartbeat since.
func (r *record) mergeLiveness(now core.Time, incoming *nodepb.Instance, trust livenessTrust) {
	if trust == ignoreLiveness || r.gone() {
		return
	}
	if incoming.SinceHeartbeatMs == 0 {
		r.unresponsive = false
		return
	}
	lastContact := now - core.Duration(incoming.SinceHeartbeatMs)
	if r.lastHeartbeatAt > lastContact {
		return
	}
	r.unresponsive = true
	r.unresponsiveSince = lastContact
}

// refutes reports whether this node received a heartbeat within the timeout of a broker that
// another node reports as unresponsive, and has not refuted that within refuteInterval.
func (r *Registry) refutes(now core.Time, rec *record, incoming *nodepb.Instance) bool {
	if incoming.SinceHeartbeatMs == 0 || rec.gone() || rec.unresponsive {
		return false
	}
	return now-rec.lastHeartbeatAt < r.options.heartbeatTimeout() && now-rec.refutedAt >= refuteInterval
}

// scheduleLivenessCheck makes sure that a topic whose home this node is will be checked.
func (r *Registry) scheduleLivenessCheck(now core.Time, t *topic) {
	if t.home.self {
		r.nextLivenessCheck = min(r.nextLivenessCheck, now+r.options.heartbeatTimeout())
	}
}

// resetLivenessAfterStall restarts all timeouts after this process was stopped, as it could not
// receive heartbeats in that time.
func (r *Registry) resetLivenessAfterStall(now core.Time) {
	for _, t := range r.topics {
		t.homeSince = now
		t.selfPreservationSince = 0
	}
	if r.nextLivenessCheck != core.Never {
		r.nextLivenessCheck = now + r.options.heartbeatTimeout()
	}
}

// checkLiveness checks the topics whose home this node is.
func (r *Registry) checkLiveness(now core.Time) {
	r.nextLivenessCheck = core.Never
	for _, t := range r.topics {
		if t.home.self {
			r.checkTopicLiveness(now, t)
		}
	}
}

// checkTopicLiveness marks the brokers of a topic whose heartbeats are overdue.
func (r *Registry) checkTopicLiveness(now core.Time, t *topic) {
	surveyed := r.surveyTopic(now, t)
	if surveyed.live > 0 {
		next := max(surveyed.oldestContact+r.options.heartbeatTimeout(), now+timeoutGrace)
		r.nextLivenessCheck = min(r.nextLivenessCheck, next)
	}
	if len(surveyed.overdue) == 0 {
		t.selfPreservationSince = 0
		return
	}
	if r.updateSelfPreservation(now, t, surveyed) {
		r.nextLivenessCheck = min(r.nextLivenessCheck, now+selfPreservationRecheck)
		return
	}
	for _, rec := range surveyed.overdue {
		r.markUnresponsive(now, t, rec)
	}
}

// livenessSurvey sums up the last contacts with the brokers of a topic.
type livenessSurvey struct {
	live          int       // brokers that are neither gone nor marked as unresponsive
	missing       int       // live brokers that are less than one heartbeat interval short of the timeout
	overdue       []*record // live brokers beyond the timeout
	oldestContact core.Time // with a live broker that is not overdue; the present time without one
}

// surveyTopic surveys the brokers of a topic.
func (r *Registry) surveyTopic(now core.Time, t *topic) livenessSurvey {
	found := livenessSurvey{oldestContact: now}
	overdueBefore := now - r.options.heartbeatTimeout()
	missingBefore := overdueBefore + r.options.heartbeatInterval()
	for _, rec := range t.records {
		if rec.gone() || rec.unresponsive {
			continue
		}
		found.live++
		lastContact := t.lastContact(rec)
		if lastContact <= missingBefore {
			found.missing++
		}
		if lastContact <= overdueBefore {
			found.overdue = append(found.overdue, rec)
			continue
		}
		found.oldestContact = min(found.oldestContact, lastContact)
	}
	return found
}

// lastContact is the time from which a broker's heartbeat timeout runs: its last heartbeat here, or
// when this node first knew of it or became the home of its topic, if that is later.
func (t *topic) lastContact(rec *record) core.Time {
	return max(rec.lastHeartbeatAt, rec.learnedAt, t.homeSince)
}

// updateSelfPreservation enters or leaves self-preservation for a topic and reports whether it is in
// force. It ends after selfPreservationLimit: brokers that other nodes receive heartbeats of are
// then protected by the refutations of these.
func (r *Registry) updateSelfPreservation(now core.Time, t *topic, surveyed livenessSurvey) bool {
	if surveyed.live < selfPreservationMinBrokers || surveyed.missing*2 <= surveyed.live {
		t.selfPreservationSince = 0
		return false
	}
	if t.selfPreservationSince == 0 {
		t.selfPreservationSince = now
	}
	return now-t.selfPreservationSince < selfPreservationLimit
}

// markUnresponsive marks a broker and schedules the broadcast of the mark.
func (r *Registry) markUnresponsive(now core.Time, t *topic, rec *record) {
	rec.unresponsive = true
	rec.unresponsiveSince = t.lastContact(rec)
	r.updateTopic(now, rec, t)
	r.watchExpiry(rec)
	r.scheduleBroadcast(now, rec.reported.Id, batchDelay)
}
