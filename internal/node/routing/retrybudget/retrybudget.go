// Package retrybudget limits the arrivals at brokers beyond the first of each request that this
// proxy may cause by retries and hedged requests. It is this proxy's part of the limit for all
// proxies together (RULES.md, "Retries").
package retrybudget

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/window"
)

const (
	// HedgeShare is the share of the budget that hedged requests may use. The rest is reserved for
	// retries.
	HedgeShare = 0.5

	safetyMargin   = 0.9 // share of what the rules permit that is used
	windowBuckets  = 20
	maxProxiesSpan = 60 * time.Second // how long a larger number of proxies is remembered
	// minProxies is the lowest number of proxies that is assumed, because a proxy that starts in a
	// network partition knows few others.
	minProxies = 4
)

// ProxyCount is the number of proxies that share the budget of a service. It is the maximum that
// was known within the last minute, so that a proxy in a network partition doesn't use the whole
// budget itself.
type ProxyCount struct {
	// counts holds the numbers that may still be the maximum, in descending order of number and
	// ascending order of time.
	counts []observedCount
}

// observedCount is a number of proxies and the last time at which it was known.
type observedCount struct {
	validUntil core.Time // last time at which it was known
	count      int
}

// Set records the number of proxies that is known from now on.
func (p *ProxyCount) Set(now core.Time, count int) {
	if n := len(p.counts); n > 0 {
		p.counts[n-1].validUntil = now
	}
	for n := len(p.counts); n > 0 && p.counts[n-1].count <= count; n = len(p.counts) {
		p.counts = p.counts[:n-1]
	}
	p.counts = append(p.counts, observedCount{now, count})
	p.expire(now)
}

// expire removes numbers that were last known before the span began, but keeps the current one.
func (p *ProxyCount) expire(now core.Time) {
	for len(p.counts) > 1 && p.counts[0].validUntil < now-maxProxiesSpan {
		p.counts = p.counts[1:]
	}
}

// Max returns the maximum number of proxies that was known recently; 0 if none is known.
func (p *ProxyCount) Max(now core.Time) int {
	if len(p.counts) == 0 {
		return 0
	}
	p.expire(now)
	return p.counts[0].count
}

// Budget counts the requests of one service and the arrivals beyond the first that each of them
// caused.
//
// Arrivals are counted over slightly more than the window and requests over slightly less, so that
// the budget isn't exceeded in any window of that length, wherever the boundaries of the buckets
// lie.
type Budget struct {
	requests *window.Counts
	retries  *window.Counts // arrivals beyond the first, including those of hedged requests
}

// Limits are a deployment's bounds on what all proxies together send beyond first arrivals
// (RULES.md, "Retries"), and this proxy's part of them.
type Limits struct {
	// Ratio is how many arrivals beyond the first each request of a service permits.
	Ratio float64
	// Slack is how many additional arrivals beyond the first all proxies together may cause in each
	// window.
	Slack float64
	// Proxies is the number of proxies that share the slack.
	Proxies ProxyCount
	// Denied counts the arrivals that the budget didn't permit.
	Denied uint64

	window time.Duration
	// slackFrom is when this proxy's share of the slack begins to count. That is one window after
	// the start, as the process may have used it before a restart.
	slackFrom core.Time
}

// NewLimits returns the bounds for a proxy that starts now. Both ratio and slack apply to each
// window.
func NewLimits(now core.Time, ratio, slack float64, window time.Duration) Limits {
	return Limits{Ratio: ratio, Slack: slack, window: window, slackFrom: now + window}
}

// NewBudget returns an unused budget for one service.
func (l *Limits) NewBudget() Budget {
	width := units.Milliseconds(l.window) / windowBuckets
	return Budget{
		requests: window.NewCounts(windowBuckets+2, width),
		retries:  window.NewCounts(windowBuckets+2, width),
	}
}

// allowance returns how many arrivals beyond the first this proxy may cause in the window that ends
// now.
func (l *Limits) allowance(now core.Time, b *Budget) float64 {
	span := units.Milliseconds(l.window)
	allowed := l.Ratio * b.requests.SumWithin(units.Milliseconds(now), span)
	if count := l.Proxies.Max(now); count > 0 && now >= l.slackFrom {
		allowed += l.Slack / float64(max(count, minProxies))
	}
	return safetyMargin * allowed
}

// Allows reports whether one more arrival is within the given share of the allowance. If it isn't,
// it counts as denied.
func (l *Limits) Allows(now core.Time, b *Budget, share float64) bool {
	spent := b.retries.Sum(units.Milliseconds(now), units.Milliseconds(l.window))
	if spent+1 <= share*l.allowance(now, b) {
		return true
	}
	l.Denied++
	return false
}

// RecordRequest counts a request of a client.
func (b *Budget) RecordRequest(now core.Time) { b.requests.Add(units.Milliseconds(now), 1) }

// RecordRetry counts an arrival beyond the first of its request.
func (b *Budget) RecordRetry(now core.Time) { b.retries.Add(units.Milliseconds(now), 1) }
