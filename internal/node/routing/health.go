package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/verdict"
	"kestrelspread/internal/window"
)

const (
	errorSpan      = 4000. // ms: errors lately
	errorFew       = 2.0   // errors before a share of them counts
	errorShare     = 0.3   // a broker that fails more is set aside
	trialFirst     = time.Second
	trialLongest   = 4 * time.Second
	trialPerPeer   = 20 * time.Millisecond // so that many proxies' trials stay few for the broker
	misdirectPause = 500 * time.Millisecond
	patienceLines  = 2.0
	patienceLeast  = 400.0 // ms
	patienceBlind  = 1000. // ms where no line is known
	answeredLately = time.Second
)

// health is what this proxy makes of a broker by what came back, never by the list of brokers alone.
type health struct {
	aside bool
	// unreachable: no connection came up, so that a trial can't run there unseen.
	unreachable bool
	since       core.Time
	trialAt     core.Time
	backoff     time.Duration
	trial       *attempt
	answeredAt  core.Time // 0: never
	errors, oks *window.Counts
	// misdirectedUntil: it has turned requests away for another instance's or version's.
	misdirectedUntil core.Time
}

// patience is how long nothing may come from a broker with an attempt out, scaled ms, before it is taken for hanging.
func (p *pool) patience(now core.Time, b *broker) float64 {
	if p.seen < 5 {
		return patienceBlind
	}
	return max(patienceLines*p.lineOf(now, b), patienceLeast)
}

// hanging reports whether a broker has attempts out and answers nothing: frozen, cut off or lost alike.
func (p *pool) hanging(now core.Time, b *broker) bool {
	if len(b.waiting) == 0 {
		return false
	}
	first := b.waiting[0]
	if b.health.answeredAt > first.sentAt {
		return false
	}
	return first.age(now) > p.patience(now, b)
}

// trialDue reports whether a broker that was set aside is to be tried again.
func (h *health) trialDue(now core.Time) bool {
	return h.trial == nil && now >= h.trialAt
}

// answered takes any sign of life that shows the broker at work.
func (b *broker) answered(now core.Time) {
	h := &b.health
	h.answeredAt = now
	if h.aside {
		h.aside, h.unreachable, h.trial = false, false, nil
	}
	h.note(&h.oks, now)
}

func (h *health) note(counts **window.Counts, now core.Time) {
	if *counts == nil {
		*counts = window.NewCounts(8, errorSpan/8)
	}
	(*counts).Add(milliseconds(now), 1)
}

func (h *health) lately(counts *window.Counts, now core.Time) float64 {
	if counts == nil {
		return 0
	}
	return counts.Sum(milliseconds(now), errorSpan)
}

// failed judges a broker by an attempt that went wrong there.
func (r *Router) failed(now core.Time, b *broker, a *attempt, outcome *Outcome) {
	h := &b.health
	if h.trial == a {
		h.trial = nil
		r.retreat(now, h)
	}
	switch {
	case outcome.Misdirected:
		h.misdirectedUntil = now + misdirectPause
		h.note(&h.errors, now)
	case outcome.ConnectFailed:
		r.setAside(now, b, true)
	default:
		h.note(&h.errors, now)
		errors := h.lately(h.errors, now)
		if errors >= errorFew && errors > errorShare*(errors+h.lately(h.oks, now)) {
			r.setAside(now, b, false)
		}
	}
}

func (r *Router) setAside(now core.Time, b *broker, unreachable bool) {
	h := &b.health
	h.unreachable = unreachable
	if h.aside {
		return
	}
	h.aside = true
	h.since = now
	h.backoff = r.firstTrial(now)
	h.trialAt = now + r.spread(h.backoff)
}

// retreat puts the next trial off twice as long.
func (r *Router) retreat(now core.Time, h *health) {
	first := r.firstTrial(now)
	h.backoff = min(2*max(h.backoff, first), max(trialLongest, 2*first))
	h.trialAt = now + r.spread(h.backoff)
}

func (r *Router) firstTrial(now core.Time) time.Duration {
	return max(trialFirst, time.Duration(r.peers.most(now))*trialPerPeer)
}

// spread takes a time between three quarters of it and five quarters, by chance.
func (r *Router) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*r.options.Random.Float64()))
}

// troubled reports whether an outcome speaks against the broker.
func (o *Outcome) troubled() bool {
	switch {
	case o.Canceled, o.NotExecuted && !o.Misdirected:
		return false
	case o.Misdirected, o.ConnectFailed, o.TimedOut:
		return true
	case o.Status >= 500:
		return true
	}
	return o.Verdict == verdict.MayHaveRun && !o.Answered
}
