// Package retrybudget bounds the attempts beyond the first arrival of each request that this proxy
// may cause, as its part of the bound that all proxies together keep (RULES.md, "Retries").
package retrybudget

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/window"
)

const (
	// HedgeShare is the share of the budget that hedged requests may use up; the rest is left for
	// retries.
	HedgeShare = 0.5

	safetyMargin   = 0.9 // share of what the rules allow that is spent
	windowBuckets  = 20
	maxProxiesSpan = 60 * time.Second // for so long a larger number of proxies is remembered
	// minProxies are assumed at least: a proxy that starts in a partition knows few others.
	minProxies = 4
)

// ProxyCount is how many proxies share the budget of a service: the maximum that was known within
// the last minute, so that a partitioned proxy doesn't take the whole budget for itself.
type ProxyCount struct {
	// counts are the maxima that still matter: falling in number, rising in time.
	counts []observedCount
}

// observedCount is a number of proxies that was known for a time.
type observedCount struct {
	validUntil core.Time // last moment at which it was known
	count      int
}

// Set takes in that so many proxies are known from now on.
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

func (p *ProxyCount) expire(now core.Time) {
	for len(p.counts) > 1 && p.counts[0].validUntil < now-maxProxiesSpan {
		p.counts = p.counts[1:]
	}
}

// Max is the number that counts now, 0 while none is known.
func (p *ProxyCount) Max(now core.Time) int {
	if len(p.counts) == 0 {
		return 0
	}
	p.expire(now)
	return p.counts[0].count
}

// Budget counts the requests of one service and the arrivals beyond the first of each that they
// caused.
//
// Arrivals are counted over slightly more than the window, requests over slightly less, so that no
// window of that length can be overdrawn whatever the bucket boundaries.
type Budget struct {
	requests *window.Counts
	retries  *window.Counts // arrivals beyond the first, hedged requests included
}

// Limits are a deployment's bounds on what all proxies together send beyond first arrivals
// (RULES.md, "Retries"), and this proxy's part in them.
type Limits struct {
	// Ratio is the number of arrivals beyond the first that each request of a service allows.
	Ratio float64
	// Slack is the number of such arrivals that all proxies together have in each window besides.
	Slack float64
	// Proxies share the slack.
	Proxies ProxyCount
	// Denied counts the arrivals that weren't afforded.
	Denied uint64

	window time.Duration
	// slackFrom is when this proxy's share of the slack counts: not in the first window after its
	// start, as the process may have spent it before a restart.
	slackFrom core.Time
}

// NewLimits are the bounds of a proxy that starts now; both figures count over the window.
func NewLimits(now core.Time, ratio, slack float64, window time.Duration) Limits {
	return Limits{Ratio: ratio, Slack: slack, window: window, slackFrom: now + window}
}

// NewBudget is the unused budget of one service.
func (l *Limits) NewBudget() Budget {
	width := units.Milliseconds(l.window) / windowBuckets
	return Budget{
		requests: window.NewCounts(windowBuckets+2, width),
		retries:  window.NewCounts(windowBuckets+2, width),
	}
}

// allowance is how many arrivals beyond the first this proxy may cause in the window that ends now.
func (l *Limits) allowance(now core.Time, b *Budget) float64 {
	span := units.Milliseconds(l.window)
	allowed := l.Ratio * b.requests.SumWithin(units.Milliseconds(now), span)
	if count := l.Proxies.Max(now); count > 0 && now >= l.slackFrom {
		allowed += l.Slack / float64(max(count, minProxies))
	}
	return safetyMargin * allowed
}

// Affords reports whether one more arrival is within the given share of the allowance, and counts a
// denial if not.
func (l *Limits) Affords(now core.Time, b *Budget, share float64) bool {
	spent := b.retries.Sum(units.Milliseconds(now), units.Milliseconds(l.window))
	if spent+1 <= share*l.allowance(now, b) {
		return true
	}
	l.Denied++
	return false
}

// Received counts a client's request.
func (b *Budget) Received(now core.Time) { b.requests.Add(units.Milliseconds(now), 1) }

// Spend counts an arrival beyond the first of its request.
func (b *Budget) Spend(now core.Time) { b.retries.Add(units.Milliseconds(now), 1) }
