package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/verdict"
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	errorSpan      = 4000. // ms: errors lately
	errorBuckets   = 8
	errorFew       = 2.0 // errors before a share of them counts
	errorShare     = 0.3 // a broker that fails more is set aside
	trialFirst     = time.Second
	trialLongest   = 4 * time.Second
	trialPerPeer   = 20 * time.Millisecond // so that many proxies' trials stay few for the broker
	misdirectFirst = 500 * time.Millisecond
	misdirectMost  = 8 * time.Second
	patienceLines  = 2.0
	patienceLeast  = 400.0 // ms
	patienceBlind  = 1000. // ms, where too few answers tell a line
	patienceAlone  = 3.0   // times as long where no other broker answers: then it may be this proxy that hears nothing
	answeredLately = time.Second
)

// ailment is why a broker was set aside.
type ailment uint8

const (
	well        ailment = iota
	unreachable         // no connection came up: nothing can run there unseen
	hanging             // attempts are out and nothing comes: frozen, cut off or lost alike
	erring              // it fails too many requests, and quickly perhaps
)

// health is what this proxy makes of a broker by what came back, never by the list of brokers alone.
type health struct {
	ailment    ailment
	trialAt    core.Time
	backoff    time.Duration
	trial      *attempt
	answeredAt core.Time // last sign of life; 0: none
	errors     *window.Counts
	oks        *window.Counts
	// misdirectedUntil: it turned requests away that were for another instance or version.
	misdirectedUntil core.Time
	misdirectPause   time.Duration
}

func (h *health) aside() bool { return h.ailment != well }

// trialDue reports whether a broker that was set aside is to be tried again.
func (h *health) trialDue(now core.Time) bool { return h.trial == nil && now >= h.trialAt }

// answered takes a sign of life. What was set aside for its errors must prove more than that.
func (h *health) answered(now core.Time) {
	h.answeredAt = now
	if h.ailment != erring {
		h.recover()
	}
}

func (h *health) recover() {
	h.ailment, h.trial, h.backoff = well, nil, 0
}

// calledOff ends a trial that this proxy or its client ended: it says little of the broker, and another follows.
func (h *health) calledOff(next core.Time) {
	h.trial = nil
	h.trialAt = next
}

// succeeded takes a request that went well.
func (h *health) succeeded(now core.Time) {
	h.answered(now)
	h.misdirectPause = 0
	note(&h.oks, now)
	if h.ailment == erring {
		h.recover()
	}
}

func note(counts **window.Counts, now core.Time) {
	if *counts == nil {
		*counts = window.NewCounts(errorBuckets+1, errorSpan/errorBuckets)
	}
	(*counts).Add(units.Milliseconds(now), 1)
}

func lately(counts *window.Counts, now core.Time) float64 {
	if counts == nil {
		return 0
	}
	return counts.Sum(units.Milliseconds(now), errorSpan)
}

// fails reports whether too large a share of what was sent lately went wrong.
func (h *health) fails(now core.Time) bool {
	errors := lately(h.errors, now)
	return errors >= errorFew && errors > errorShare*(errors+lately(h.oks, now))
}

// patience is how long nothing may come from a broker with an attempt out, scaled ms, before it is taken for hanging.
func (p *pool) patience(now core.Time, b *broker) float64 {
	if p.seen < predict.LineFew {
		return patienceBlind
	}
	return max(patienceLines*p.lineOf(now, b), patienceLeast)
}

// hangs reports whether a broker has attempts out and answers nothing.
func (r *Router) hangs(now core.Time, p *pool, b *broker) bool {
	if len(b.waiting) == 0 {
		return false
	}
	first := b.waiting[0]
	if b.health.answeredAt > first.sentAt {
		return false
	}
	silent := units.Milliseconds(now-max(first.sentAt, r.awakeAt)) / first.scale
	patience := p.patience(now, b)
	if silent <= patience {
		return false
	}
	othersAnswer := p.answeredAt > first.sentAt && p.answeredAt >= r.awakeAt
	return othersAnswer || silent > patienceAlone*patience
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
		h.misdirectPause = min(max(2*h.misdirectPause, misdirectFirst), misdirectMost)
		h.misdirectedUntil = now + r.spread(h.misdirectPause)
	case outcome.ConnectFailed:
		r.setAside(now, b, unreachable)
	default:
		note(&h.errors, now)
		if h.fails(now) {
			r.setAside(now, b, erring)
		}
	}
}

func (r *Router) setAside(now core.Time, b *broker, why ailment) {
	h := &b.health
	if !r.switches.On(mechanism.OutlierEjection) {
		return
	}
	if h.aside() {
		if why == unreachable {
			h.ailment = why
		}
		return
	}
	h.ailment = why
	h.backoff = r.firstTrial(now)
	h.trialAt = now + r.spread(h.backoff)
	r.counters.SetAside++
}

// retreat puts the next trial off twice as long.
func (r *Router) retreat(now core.Time, h *health) {
	first := r.firstTrial(now)
	h.backoff = min(2*max(h.backoff, first), max(trialLongest, 2*first, 2*r.options.Heartbeat))
	h.trialAt = now + r.spread(h.backoff)
}

func (r *Router) firstTrial(now core.Time) time.Duration {
	return max(trialFirst, time.Duration(r.limits.Proxies.Max(now))*trialPerPeer)
}

// spread takes a time between three quarters of it and five quarters, by chance.
func (r *Router) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*r.options.Random.Float64()))
}

// Resumed tells that this process stood still until now: what it did not hear meanwhile is no silence of brokers, and
// latencies that span it tell nothing.
func (r *Router) Resumed(now core.Time) { r.awakeAt = now }

// speaksAgainst reports whether an attempt's end speaks against its broker. That it came too late does not, where the broker
// answered others meanwhile: it has too much to do.
func (o *Outcome) speaksAgainst(a *attempt) bool {
	switch {
	case o.Misdirected, o.ConnectFailed:
		return true
	case o.Canceled, o.NotExecuted, o.Status == statusTimeout:
		return false
	case o.TimedOut:
		return a.broker.health.answeredAt <= a.sentAt
	case o.failure():
		return true
	}
	return o.Verdict == verdict.MayHaveRun && !o.Answered
}

// statusTimeout is a broker's answer at the request's deadline.
const statusTimeout = 504
