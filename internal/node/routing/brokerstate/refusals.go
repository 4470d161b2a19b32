package brokerstate

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// RefusalBackoff is how long a refusal for want of capacity is believed.
	RefusalBackoff = 250 * time.Millisecond
	// RolloutBackoff is how long a broker that is loading new weights gets no requests.
	RolloutBackoff = time.Second

	urgentBackoff      = 0.5         // of RefusalBackoff for the most urgent requests, which try sooner
	maxRefusalBackoff  = time.Second // the backoff doubles with each refusal in a row, up to this
	maxRefusalDoubling = 2
)

// refusals is what a broker's refusals for want of capacity say.
type refusals struct {
	inRow int // since it last took a request
	// refusedAt is when it last refused, and backoffUntil how long that is believed.
	refusedAt    core.Time
	backoffUntil core.Time
	// rolloutUntil: it refused a request because new weights are being brought to it.
	rolloutUntil core.Time
}

// Refused takes in that a broker had no capacity, as it said. retryAfter is the advice it gave (0:
// none), load its report (nil: none).
func (b *Broker) Refused(now, retryAfter core.Time, load *Load) {
	r := &b.refusals
	backoff := min(RefusalBackoff<<min(r.inRow, maxRefusalDoubling), maxRefusalBackoff)
	r.inRow++
	if retryAfter > 0 {
		backoff = min(max(retryAfter, RefusalBackoff/2), maxRefusalBackoff)
	}
	if load != nil && load.Waiting == 0 && 2*load.Running < load.Slots {
		backoff /= 2 // it refused for another reason than want of capacity
	}
	r.refusedAt, r.backoffUntil = now, now+backoff
}

// RefusedForRollout takes in that a broker refused a request as new weights are being brought to
// it.
func (b *Broker) RefusedForRollout(now core.Time) { b.refusals.rolloutUntil = now + RolloutBackoff }

// Accepted takes in that the broker answers a request that was sent at a time: refusals before that
// no longer count.
func (b *Broker) Accepted(sentAt core.Time) {
	r := &b.refusals
	if sentAt > r.refusedAt {
		r.backoffUntil, r.inRow = 0, 0
	}
	if sentAt > r.rolloutUntil-RolloutBackoff {
		r.rolloutUntil = 0
	}
}

// BackingOff reports whether a request of an urgency (0: most urgent) should leave the broker alone,
// as it refused recently.
func (b *Broker) BackingOff(now core.Time, urgency int) bool {
	r := &b.refusals
	if now < r.rolloutUntil {
		return true
	}
	if now >= r.backoffUntil {
		return false
	}
	return urgency > 0 || now < r.refusedAt+core.Time(urgentBackoff*float64(r.backoffUntil-r.refusedAt))
}

// BackoffUntil is when the broker may have capacity again.
func (b *Broker) BackoffUntil() core.Time {
	return max(b.refusals.backoffUntil, b.refusals.rolloutUntil)
}
