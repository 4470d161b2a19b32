package brokerstate

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// RefusalBackoff is how long a broker gets no requests after a first refusal for lack of
	// capacity.
	RefusalBackoff = 250 * time.Millisecond
	// RolloutBackoff is how long a broker that refused a request because it loads new weights gets
	// no requests.
	RolloutBackoff = time.Second

	urgentBackoff      = 0.5         // share of the backoff that applies to the most urgent requests
	maxRefusalBackoff  = time.Second // bound of the backoff, which doubles with each consecutive refusal
	maxRefusalDoubling = 2
)

// refusals holds a broker's recent refusals for lack of capacity.
type refusals struct {
	consecutive int // number of refusals since the broker last took a request
	// refusedAt is the time of the last refusal, and backoffUntil the end of the backoff after it.
	refusedAt    core.Time
	backoffUntil core.Time
	// rolloutUntil is the end of the backoff after the broker refused a request because it loads
	// new weights.
	rolloutUntil core.Time
}

// RecordRefusal records that the broker refused a request for lack of capacity. retryAfter is the
// delay that it asked for (0: none), load its report (nil: none).
func (b *Broker) RecordRefusal(now, retryAfter core.Time, load *Load) {
	r := &b.refusals
	backoff := min(RefusalBackoff<<min(r.consecutive, maxRefusalDoubling), maxRefusalBackoff)
	r.consecutive++
	if retryAfter > 0 {
		backoff = min(max(retryAfter, RefusalBackoff/2), maxRefusalBackoff)
	}
	if load != nil && load.Waiting == 0 && 2*load.Running < load.Slots {
		backoff /= 2 // more than half of its slots are free, so it refused for another reason than lack of capacity
	}
	r.refusedAt, r.backoffUntil = now, now+backoff
}

// RecordRolloutRefusal records that the broker refused a request because it loads new weights.
func (b *Broker) RecordRolloutRefusal(now core.Time) { b.refusals.rolloutUntil = now + RolloutBackoff }

// ClearRefusals records that the broker answers a request that was sent at sentAt: refusals before
// that time no longer count.
func (b *Broker) ClearRefusals(sentAt core.Time) {
	r := &b.refusals
	if sentAt > r.refusedAt {
		r.backoffUntil, r.consecutive = 0, 0
	}
	if sentAt > r.rolloutUntil-RolloutBackoff {
		r.rolloutUntil = 0
	}
}

// BackingOff reports whether a request of the given urgency (0: most urgent) should not be sent to
// the broker, as it refused another one recently.
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

// BackoffUntil returns when the broker may have capacity again.
func (b *Broker) BackoffUntil() core.Time {
	return max(b.refusals.backoffUntil, b.refusals.rolloutUntil)
}
