package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/window"
)

const (
	budgetMargin  = 0.9 // share of what the rules allow that is spent
	budgetBuckets = 20
	copyReserve   = 0.5 // share of the budget that copies may use up; the rest is for what failed
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

func newBudget(span time.Duration) budget {
	width := milliseconds(span) / budgetBuckets
	return budget{
		requests: window.NewCounts(budgetBuckets+2, width),
		further:  window.NewCounts(budgetBuckets+2, width),
	}
}

// allowance is how many arrivals beyond the first this proxy may cause within the window that ends now.
func (r *Router) allowance(now core.Time, b *budget) float64 {
	span := milliseconds(r.options.BudgetWindow)
	allowed := r.options.RetryBudgetRatio * b.requests.Inside(milliseconds(now), span)
	if count := r.peers.most(now); count > 0 && now >= r.slackFrom {
		allowed += r.options.RetryBudgetSlack / float64(max(count, peersLeast))
	}
	return budgetMargin * allowed
}

// affords reports whether one more arrival is within the given share of the allowance.
func (r *Router) affords(now core.Time, b *budget, share float64) bool {
	spent := b.further.Sum(milliseconds(now), milliseconds(r.options.BudgetWindow))
	if spent+1 <= share*r.allowance(now, b) {
		return true
	}
	r.counters.BudgetDenied++
	return false
}
