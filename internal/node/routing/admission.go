package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

const (
	fullPause       = 250 * time.Millisecond // a refusal for want of room is believed so long
	urgentPause     = 0.5                    // of that by the most urgent requests, which try sooner
	fullPauseMost   = time.Second            // and, as refusals follow one another, twice as long each time, up to so long
	fullDoublings   = 2
	orderPause      = time.Second           // a broker that loads new weights is left alone so long
	leastTime       = 15 * time.Millisecond // less than this till its deadline, a request can't be answered
	adviceShare     = 3                     // clients follow advice of up to a third of the time they have left
	adviceMost      = 1200 * time.Millisecond
	adviceLeast     = 20 * time.Millisecond
	adviceShort     = 120 * time.Millisecond // where another proxy may do better at once
	adviceStarting  = 600 * time.Millisecond // at least, while this node may still have to hear of the brokers
	adviceStarted   = time.Second            // at most then
	startingSpan    = 3 * time.Second
	hopelessShare   = 0.25 // quantile of latencies which exceeds the time left: no chance
	priorityPerRank = 3
	priorityLast    = 9
)

// enginePriority is the Priority header: 0 to 9, 0 first (PROTOCOL.md, "Requests").
func enginePriority(urgency int) int {
	return min(max(urgency, 0)*priorityPerRank, priorityLast)
}

// turnedAwayMost is how many brokers may turn a request away before it gives its place at one more to another request: the
// least urgent give up first.
func turnedAwayMost(urgency int) int { return max(4-urgency, 2) }

// retryShare is the part of the retry budget that requests of an urgency may use up.
func retryShare(urgency int) float64 { return max(1-0.1*float64(max(urgency, 0)), 0.7) }

// turnedAway notes that a broker had no room, by its own word.
func (b *broker) turnedAway(now core.Time, outcome *Outcome) {
	pause := min(fullPause<<min(b.refusals, fullDoublings), fullPauseMost)
	b.refusals++
	if outcome.RetryAfter > 0 {
		pause = min(max(outcome.RetryAfter, fullPause/2), fullPauseMost)
	}
	if load := outcome.Load; load != nil && load.Waiting == 0 && 2*load.Running < load.Slots {
		pause /= 2 // it turned it away for another reason than want of room
	}
	b.fullAt, b.fullUntil = now, now+pause
}

// ordered notes that a broker turned a request away as new weights are being brought to it.
func (b *broker) ordered(now core.Time) { b.orderedUntil = now + orderPause }

// byOrder reports whether a broker turned a request away for new weights rather than for want of room: it lacks a version that
// was named, and has places.
func (r *Router) byOrder(req *request, b *broker, outcome *Outcome) bool {
	if req.model == "" || r.versions.VersionOf(b.instance, req.model) >= r.versions.Newest(req.model) {
		return false
	}
	load := outcome.Load
	return load == nil || load.Waiting < load.Slots
}

// believedFull reports whether a request should leave the broker alone as it had no room lately.
func (b *broker) believedFull(now core.Time, urgency int) bool {
	if now < b.orderedUntil {
		return true
	}
	if now >= b.fullUntil {
		return false
	}
	return urgency > 0 || now < b.fullAt+core.Time(urgentPause*float64(b.fullUntil-b.fullAt))
}

// hopeless reports whether a request can't be answered in the time left: even the quickest of the lately answered ones took
// longer, and requests wait at the broker.
func (r *Router) hopeless(now core.Time, req *request, c *candidate) bool {
	b := c.broker
	if !b.report.heard || b.report.load.Waiting == 0 || now-b.report.at > time.Second {
		return false
	}
	quick, n := req.class.latencies.Quantile(units.Milliseconds(now), hopelessShare)
	return n >= predict.Few && quick*req.work > units.Milliseconds(req.Deadline-now)
}

// refuse is the final answer to a request that has not run.
func (r *Router) refuse(now core.Time, req *request, reason RefusalReason, earliest core.Time) Decision {
	r.counters.Refusals[reason]++
	return Decision{Refusal: &Refusal{Reason: reason, RetryAfter: r.advice(now, req, reason, earliest)}}
}

// advice is when the client should come again: within a third of the time it has left, spread by chance so that those who
// were refused together don't come together.
func (r *Router) advice(now core.Time, req *request, reason RefusalReason, earliest core.Time) core.Time {
	most := min(max(req.Deadline-now, 0)/adviceShare, adviceMost)
	if reason == RefusedUnhealthy || reason == RefusedAttempts || reason == RefusedNoBroker {
		most = min(most, adviceShort)
	}
	least := min(adviceLeast, most)
	if reason == RefusedNoBroker && now < r.startedAt+startingSpan {
		most = min(max(req.Deadline-now, 0)/adviceShare, adviceStarted)
		least = min(adviceStarting, most)
	}
	chance := r.options.Random.Float64()
	if earliest != core.Never && earliest > now {
		least = max(least, min(earliest-now, most/2))
	}
	return least + core.Time(chance*float64(most-least))
}
