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
	probeBackoffPerProxy = 20 * time.Millisecond // limits the load on a broker that many proxies probe
	minMisdirectBackoff  = 500 * time.Millisecond
	maxMisdirectBackoff  = 8 * time.Second
	timeoutFactor        = 2.0   // slow lines without any answer until a broker counts as unresponsive
	minTimeout           = 400.0 // ms
	defaultTimeout       = 1000. // ms; used while there are too few answers to determine the slow line
	noOtherAnswersFactor = 3.0   // on the timeout while no other broker answers: perhaps this proxy can't receive
	minJitterFactor      = 0.75  // of the jittered duration
	jitterRange          = 0.5   // added to minJitterFactor at most
)

// Fault is the kind of failure that a call shows of its broker.
type Fault uint8

// The kinds of failure.
const (
	FaultMisdirected Fault = iota // another instance has the address, or another version of the weights is loaded
	FaultConnect                  // no connection could be established
	FaultFailure                  // the call failed, its answer broke off, or there was no answer
)

// Ejector ejects brokers (outlier ejection) and schedules their probes.
type Ejector struct {
	switches  mechanism.Switches
	random    *rand.Rand
	heartbeat time.Duration
	proxies   *retrybudget.ProxyCount
	// resumedAt is when this process last resumed after it had been suspended.
	resumedAt core.Time
	ejections uint64
}

// NewEjector returns an ejector. heartbeat is the interval at which brokers report to the registry,
// and proxies counts the proxies that probe the same brokers.
func NewEjector(switches mechanism.Switches, random *rand.Rand, heartbeat time.Duration, proxies *retrybudget.ProxyCount) *Ejector {
	return &Ejector{switches: switches, random: random, heartbeat: heartbeat, proxies: proxies}
}

// ProcessResumed records that this process was suspended until now. What it couldn't receive
// meanwhile is no timeout of a broker, and latencies that span the suspension are meaningless.
func (e *Ejector) ProcessResumed(now core.Time) { e.resumedAt = now }

// LatencyMeasurable reports whether the time since the call's send is due to its broker only, as
// this process wasn't suspended meanwhile.
func (e *Ejector) LatencyMeasurable(c *Call) bool { return c.SentAt >= e.resumedAt }

// Ejections returns the number of ejections since the start.
func (e *Ejector) Ejections() uint64 { return e.ejections }

// RecordAnswer records that a broker of the pool has answered.
func (e *Ejector) RecordAnswer(now core.Time, p *Pool, b *Broker) {
	b.Health.recordAnswer(now)
	p.lastAnswerAt = now
}

// TimedOut reports whether a broker has calls in flight and hasn't answered anything for longer
// than the timeout. The timeout is longer if no other broker of the pool answers either.
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

// timeout returns how long a broker with a call in flight may be silent before it counts as
// unresponsive, in scaled ms.
func (p *Pool) timeout(now core.Time, b *Broker) float64 {
	if p.medianSamples < predict.MinSlowThresholdSamples {
		return defaultTimeout
	}
	return max(timeoutFactor*p.SlowLine(now, b), minTimeout)
}

// RecordFailure records that a call failed. Depending on the fault, the broker is avoided for a
// while or ejected. If the call was a probe, the next probe is postponed.
func (e *Ejector) RecordFailure(now core.Time, c *Call, fault Fault) {
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

// RecordCancellation records that this proxy or its client canceled a call. If the call was a
// probe, it says little about the broker, so another probe follows.
func (e *Ejector) RecordCancellation(now core.Time, c *Call) {
	if h := &c.Broker.Health; h.probe == c {
		h.probe = nil
		h.probeAt = now + e.jitter(h.backoff)
	}
}

// Eject ejects a broker, unless it is already ejected or the mechanism is disabled. An ejected
// broker that turns out to be unreachable gets that as its reason.
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

// EjectIfTimedOut ejects a broker whose calls get no answer.
func (e *Ejector) EjectIfTimedOut(now core.Time, p *Pool, b *Broker) {
	if e.switches.On(mechanism.OutlierEjection) && !b.Health.Ejected() && e.TimedOut(now, p, b) {
		e.Eject(now, b, Unresponsive)
	}
}

// extendProbeBackoff doubles the backoff of a broker's probes, up to a bound, and postpones the
// next probe accordingly.
func (e *Ejector) extendProbeBackoff(now core.Time, h *Health) {
	first := e.firstBackoff(now)
	h.backoff = min(2*max(h.backoff, first), max(maxProbeBackoff, 2*first, 2*e.heartbeat))
	h.probeAt = now + e.jitter(h.backoff)
}

// firstBackoff returns the time from an ejection to the first probe, before jitter.
func (e *Ejector) firstBackoff(now core.Time) time.Duration {
	return max(minProbeBackoff, time.Duration(e.proxies.Max(now))*probeBackoffPerProxy)
}

// jitter returns a random duration between three quarters and five quarters of d.
func (e *Ejector) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (minJitterFactor + jitterRange*e.random.Float64()))
}
