package brokerstate

import (
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/retrybudget"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

const (
	minProbeBackoff      = time.Second
	maxProbeBackoff      = 4 * time.Second
	probeBackoffPerProxy = 20 * time.Millisecond // so that the probes of many proxies stay few for the broker
	minMisdirectBackoff  = 500 * time.Millisecond
	maxMisdirectBackoff  = 8 * time.Second
	timeoutFactor        = 2.0   // slow lines without any answer after which a broker is unresponsive
	minTimeout           = 400.0 // ms
	defaultTimeout       = 1000. // ms, where too few answers tell a slow line
	noOtherAnswersFactor = 3.0   // times as long where no other broker answers: it may be this proxy that receives nothing
	minJitterFactor      = 0.75  // of a time
	jitterRange          = 0.5
)

// Fault is how a call speaks against its broker.
type Fault uint8

// The faults.
const (
	FaultMisdirected Fault = iota // another instance has the address, or another version is loaded
	FaultConnect                  // no connection came up
	FaultFailure                  // it failed, broke off or gave no answer
)

// Ejector ejects brokers (outlier ejection) and decides when they are probed.
type Ejector struct {
	switches  mechanism.Switches
	random    *rand.Rand
	heartbeat time.Duration
	proxies   *retrybudget.ProxyCount
	// resumedAt is when this process last came back from standing still.
	resumedAt core.Time
	ejections uint64
}

// NewEjector makes an ejector. heartbeat is how often brokers report to the registry; proxies is
// how many proxies probe the same brokers.
func NewEjector(switches mechanism.Switches, random *rand.Rand, heartbeat time.Duration, proxies *retrybudget.ProxyCount) *Ejector {
	return &Ejector{switches: switches, random: random, heartbeat: heartbeat, proxies: proxies}
}

// Resumed takes in that this process stood still until now: what it didn't receive meanwhile is no
// timeout of brokers, and latencies that span it mean nothing.
func (e *Ejector) Resumed(now core.Time) { e.resumedAt = now }

// Measurable reports whether the time since a call's send is one that its broker took, not this
// process.
func (e *Ejector) Measurable(c *Call) bool { return c.SentAt >= e.resumedAt }

// Ejections is how many brokers were ejected since the start.
func (e *Ejector) Ejections() uint64 { return e.ejections }

// Answered takes in that a broker of a pool has answered.
func (e *Ejector) Answered(now core.Time, p *Pool, b *Broker) {
	b.Health.recordAnswer(now)
	p.lastAnswerAt = now
}

// TimedOut reports whether a broker has calls out and answers nothing.
func (e *Ejector) TimedOut(now core.Time, p *Pool, b *Broker) bool {
	first := b.oldestAwaiting()
	if first == nil || b.Health.AnsweredAfter(first.SentAt) {
		return false
	}
	waited := units.Milliseconds(now-max(first.SentAt, e.resumedAt)) / first.Scale
	timeout := p.timeout(now, b)
	if waited <= timeout {
		return false
	}
	othersAnswer := p.lastAnswerAt > first.SentAt && p.lastAnswerAt >= e.resumedAt
	return othersAnswer || waited > noOtherAnswersFactor*timeout
}

// timeout is how long nothing may come from a broker with a call out, scaled ms, before it counts
// as unresponsive.
func (p *Pool) timeout(now core.Time, b *Broker) float64 {
	if p.medianSamples < predict.MinSlowLineSamples {
		return defaultTimeout
	}
	return max(timeoutFactor*p.SlowLine(now, b), minTimeout)
}

// CallFailed judges a broker by a call that failed there.
func (e *Ejector) CallFailed(now core.Time, c *Call, fault Fault) {
	h := &c.Broker.Health
	if h.probe == c {
		h.probe = nil
		e.extendProbeBackoff(now, h)
	}
	switch fault {
	case FaultMisdirected:
		h.misdirectBackoff = min(max(2*h.misdirectBackoff, minMisdirectBackoff), maxMisdirectBackoff)
		h.misdirectedUntil = now + e.jitter(h.misdirectBackoff)
	case FaultConnect:
		e.Eject(now, c.Broker, Unreachable)
	case FaultFailure:
		addOutcome(&h.failures, now)
		if h.failureRateExceeded(now) {
			e.Eject(now, c.Broker, Failing)
		}
	}
}

// CallCanceled takes in that this proxy or its client ended a call. If it was a probe, it says
// little of the broker, and another follows.
func (e *Ejector) CallCanceled(now core.Time, c *Call) {
	if h := &c.Broker.Health; h.probe == c {
		h.probe = nil
		h.probeAt = now + e.jitter(h.backoff)
	}
}

// Eject ejects a broker, unless it is ejected already or the mechanism is off.
func (e *Ejector) Eject(now core.Time, b *Broker, reason EjectionReason) {
	h := &b.Health
	if !e.switches.On(mechanism.OutlierEjection) {
		return
	}
	if h.Ejected() {
		if reason == Unreachable {
			h.reason = reason
		}
		return
	}
	h.reason = reason
	h.backoff = e.firstBackoff(now)
	h.probeAt = now + e.jitter(h.backoff)
	e.ejections++
}

// EjectIfTimedOut ejects a broker that answers nothing.
func (e *Ejector) EjectIfTimedOut(now core.Time, p *Pool, b *Broker) {
	if e.switches.On(mechanism.OutlierEjection) && !b.Health.Ejected() && e.TimedOut(now, p, b) {
		e.Eject(now, b, Unresponsive)
	}
}

// extendProbeBackoff puts the next probe off twice as long.
func (e *Ejector) extendProbeBackoff(now core.Time, h *Health) {
	first := e.firstBackoff(now)
	h.backoff = min(2*max(h.backoff, first), max(maxProbeBackoff, 2*first, 2*e.heartbeat))
	h.probeAt = now + e.jitter(h.backoff)
}

func (e *Ejector) firstBackoff(now core.Time) time.Duration {
	return max(minProbeBackoff, time.Duration(e.proxies.Max(now))*probeBackoffPerProxy)
}

// jitter takes a time between three quarters of d and five quarters, by chance.
func (e *Ejector) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (minJitterFactor + jitterRange*e.random.Float64()))
}
