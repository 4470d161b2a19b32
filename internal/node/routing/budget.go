package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/window"
)

const (
	budgetMargin  = 0.9 // share of what the rules allow that is spent
	budgetBuckets = 20
	hedgeShare    = 0.5 // share of the budget that hedged requests may use up; the rest is for retries
	peersMemory   = 60 * time.Second
	// peersLeast are assumed at least: who starts while it is cut off knows few others.
	peersLeast = 4
)

// peers is how many proxies share the budget of a service: the most that were known within the last minute, so that a
// proxy which is cut off doesn't take the whole of it for itself.
type peers struct {
	counts []peerCount // falling counts, rising times
}

type peerCount struct {
	at    core.Time // last moment at which it held
	count int
}

func (p *peers) set(now core.Time, count int) {
	if n := len(p.counts); n > 0 {
		p.counts[n-1].at = now
	}
	for n := len(p.counts); n > 0 && p.counts[n-1].count <= count; n = len(p.counts) {
		p.counts = p.counts[:n-1]
	}
	p.counts = append(p.counts, peerCount{now, count})
	p.expire(now)
}

func (p *peers) expire(now core.Time) {
	for len(p.counts) > 1 && p.counts[0].at < now-peersMemory {
		p.counts = p.counts[1:]
	}
}

// most is 0 while the number isn't known.
func (p *peers) most(now core.Time) int {
	if len(p.counts) == 0 {
		return 0
	}
	p.expire(now)
	return p.counts[0].count
}

// budget bounds the arrivals beyond the first of each request at one service. Source: RULES.md, "Retries".
//
// What is spent is counted long, what earns it short, so that no window of its length can be overdrawn. The share of the
// slack is not given in the first window after the start, as this node may have spent it in its former life.
type budget struct {
	requests *window.Counts
	further  *window.Counts
}

// limits are a deployment's bounds on what all proxies together send beyond first arrivals (RULES.md, "Retries"), and this
// proxy's part in them.
type limits struct {
	ratio  float64       // of a service's requests
	slack  float64       // arrivals in each window, shared by the proxies
	window time.Duration // over which both are counted
	// slackFrom is when the share of the slack is given.
	slackFrom core.Time
	proxies   peers
	denied    uint64
}

// newLimits are the bounds of a proxy that starts now.
func newLimits(now core.Time, ratio, slack float64, window time.Duration) limits {
	return limits{ratio: ratio, slack: slack, window: window, slackFrom: now + window}
}

// newBudget is the unused budget of one service.
func (l *limits) newBudget() budget {
	width := milliseconds(l.window) / budgetBuckets
	return budget{
		requests: window.NewCounts(budgetBuckets+2, width),
		further:  window.NewCounts(budgetBuckets+2, width),
	}
}

// allowance is how many arrivals beyond the first this proxy may cause within the window that ends now.
func (l *limits) allowance(now core.Time, b *budget) float64 {
	span := milliseconds(l.window)
	allowed := l.ratio * b.requests.Inside(milliseconds(now), span)
	if count := l.proxies.most(now); count > 0 && now >= l.slackFrom {
		allowed += l.slack / float64(max(count, peersLeast))
	}
	return budgetMargin * allowed
}

// affords reports whether one more arrival is within the given share of the allowance, and counts it as denied if not.
func (l *limits) affords(now core.Time, b *budget, share float64) bool {
	spent := b.further.Sum(milliseconds(now), milliseconds(l.window))
	if spent+1 <= share*l.allowance(now, b) {
		return true
	}
	l.denied++
	return false
}

// received counts a client's request.
func (b *budget) received(now core.Time) { b.requests.Add(milliseconds(now), 1) }

// spend counts an arrival beyond the first of its request.
func (b *budget) spend(now core.Time) { b.further.Add(milliseconds(now), 1) }
