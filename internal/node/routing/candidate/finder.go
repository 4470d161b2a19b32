package candidate

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/modelversion"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

const (
	// NewestFirstSpan is how long before older weights expire only brokers with the newest weights
	// are used, if there are enough of them.
	NewestFirstSpan = 3 * time.Second
	// FirstTokenFactor is the factor on the quantile firstTokenQuantile of recent latencies within
	// which a first token is expected.
	FirstTokenFactor = 1.5
	// MinFirstToken is the lower bound of the time expected until a first token.
	MinFirstToken = 800 * time.Millisecond
	// MaxFirstToken is the upper bound of the time expected until a first token.
	MaxFirstToken = 3 * time.Second

	minNewestShare     = 2.0 / 3     // share of the eligible brokers that must have the newest weights
	firstTokenQuantile = 0.9         // of recent latencies
	recentAnswerSpan   = time.Second // a broker that has missed heartbeats is still used if it answered within this time
)

// Finder finds the candidates for a request. It may eject brokers that don't answer, and changes no
// other state.
type Finder struct {
	switches mechanism.Switches
	versions *modelversion.Tracker
	ejector  *brokerstate.Ejector
	found    Set // result of Find; reused by each call
}

// NewFinder returns a finder.
func NewFinder(switches mechanism.Switches, versions *modelversion.Tracker, ejector *brokerstate.Ejector) *Finder {
	return &Finder{switches: switches, versions: versions, ejector: ejector}
}

// Find returns the brokers that the request may be sent to. The result is valid until the next
// call.
func (f *Finder) Find(now core.Time, req *inflight.Request) *Set {
	s := &f.found
	s.Eligible, s.unresponsive, s.Ejected = s.Eligible[:0], s.unresponsive[:0], s.Ejected[:0]
	s.BackingOff, s.CapacityAt = 0, core.Never
	startsAt := f.firstTokenAt(now, req)
	for _, b := range req.Pool.Brokers {
		c, ok := f.buildPermitted(now, startsAt, req, b)
		if ok && !req.Tried(b) {
			f.classify(now, req, s, c)
		}
	}
	if len(s.Eligible) == 0 {
		s.Eligible, s.unresponsive = s.unresponsive, s.Eligible
	}
	s.Eligible = f.newestFirst(now, req, s.Eligible)
	s.estimateLoads(now)
	return s
}

// buildPermitted returns the broker as a candidate, and reports whether its lifecycle state and the
// version of its weights permit the request.
func (f *Finder) buildPermitted(now, startsAt core.Time, req *inflight.Request, b *brokerstate.Broker) (Candidate, bool) {
	c := Candidate{Broker: b}
	if !req.Pool.Usable(now, b) || b.Health.Misdirected(now) {
		return c, false
	}
	if req.ServedModel != "" {
		c.Version = f.versions.VersionOf(b.Instance, req.ServedModel)
		return c, f.versions.MayStart(startsAt, req.ServedModel, c.Version)
	}
	return c, true
}

// classify adds a permitted candidate to the eligible, the unresponsive or the ejected ones, or
// counts it as backing off after a refusal.
func (f *Finder) classify(now core.Time, req *inflight.Request, s *Set, c Candidate) {
	b := c.Broker
	h := &b.Health
	f.ejector.EjectIfTimedOut(now, req.Pool, b)
	switch {
	case f.switches.On(mechanism.RefusalBackoff) && b.BackingOff(now, req.Urgency):
		s.BackingOff++
		s.CapacityAt = min(s.CapacityAt, b.BackoffUntil())
	case h.Ejected() && mayProbe(now, req, b):
		c.Probe = true
		s.Eligible = append(s.Eligible, c)
	case h.Ejected():
		s.Ejected = append(s.Ejected, c)
	case b.Instance.Unresponsive && !h.AnsweredWithin(now, recentAnswerSpan):
		s.unresponsive = append(s.unresponsive, c)
	default:
		s.Eligible = append(s.Eligible, c)
	}
}

// mayProbe reports whether the request may be the probe of an ejected broker.
//
// Only the first attempt of a request may be a probe. It must be idempotent, or the broker must
// take no connections at all, because then the request can't run there unnoticed. If no such
// request came for as long as the backoff lasted, any request may be the probe. A broker that has
// missed heartbeats to the registry is not probed.
func mayProbe(now core.Time, req *inflight.Request, b *brokerstate.Broker) bool {
	h := &b.Health
	if !h.ProbeDue(now) || b.Instance.Unresponsive || len(req.Calls) > 0 {
		return false
	}
	return req.Idempotent || h.Reason() == brokerstate.Unreachable || h.ProbeOverdue(now)
}

// newestFirst keeps only candidates with the newest weights when older weights are about to expire,
// if there are enough of them to take all requests. If there are few, candidates with older weights
// are used until they expire, as otherwise all requests would queue at the few.
func (f *Finder) newestFirst(now core.Time, req *inflight.Request, eligible []Candidate) []Candidate {
	if req.ServedModel == "" || !f.switches.On(mechanism.NewestFirst) ||
		!f.versions.AnyExpiresWithin(now, req.ServedModel, NewestFirstSpan) {
		return eligible
	}
	newest := f.versions.Newest(req.ServedModel)
	count := 0
	for i := range eligible {
		if eligible[i].Version >= newest {
			count++
		}
	}
	if float64(count) < minNewestShare*float64(len(eligible)) {
		return eligible
	}
	return slices.DeleteFunc(eligible, func(c Candidate) bool { return c.Version < newest })
}

// firstTokenAt returns when a request that is sent now is expected to have its first token, by
// recent latencies. A request that is sent to a broker with older weights must start before those
// expire. The time is estimated only if some weights expire soon; otherwise it is now.
func (f *Finder) firstTokenAt(now core.Time, req *inflight.Request) core.Time {
	if req.ServedModel == "" || !f.versions.AnyExpiresWithin(now, req.ServedModel, MaxFirstToken) {
		return now
	}
	latency, samples := req.Class.Quantile(now, firstTokenQuantile)
	if samples < predict.MinSamples {
		latency = req.Route.TargetLatencyMs
	}
	lead := units.FromMilliseconds(FirstTokenFactor * latency * req.RelativeWork)
	return now + min(max(lead, MinFirstToken), MaxFirstToken)
}
