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
	// NewestFirstSpan is how long before the time of older weights ends brokers with the newest
	// ones go first.
	NewestFirstSpan = 3 * time.Second
	// FirstTokenFactor is how many times the quantile firstTokenShare of latencies a first token is
	// taken to need.
	FirstTokenFactor = 1.5
	// MinFirstToken is the least time that a first token is taken to need.
	MinFirstToken = 800 * time.Millisecond
	// MaxFirstToken is the most time that a first token is taken to need.
	MaxFirstToken = 3 * time.Second

	minNewestShare     = 2.0 / 3 // of the brokers must have the newest weights
	firstTokenQuantile = 0.9
	recentAnswerSpan   = time.Second // a broker that the registry misses is used if it has answered within that time
)

// Finder finds candidates. It may eject brokers that answer nothing; it changes nothing else.
type Finder struct {
	switches mechanism.Switches
	versions *modelversion.Tracker
	ejector  *brokerstate.Ejector
	found    Set // reused
}

// NewFinder makes a finder.
func NewFinder(switches mechanism.Switches, versions *modelversion.Tracker, ejector *brokerstate.Ejector) *Finder {
	return &Finder{switches: switches, versions: versions, ejector: ejector}
}

// Find finds the brokers that the request may go to. The result is valid until the next call.
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

// buildPermitted reports whether the rules let the request go to the broker at all.
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

// classify puts a broker among the eligible, the ejected or those that back off.
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

// mayProbe reports whether the request can be the probe of an ejected broker: a first attempt, of
// an idempotent request, or to a broker that takes no connection at all, as then it can't run
// unseen; any request after a longer wait, where no other came by. A broker that the registry
// misses as well is not probed.
func mayProbe(now core.Time, req *inflight.Request, b *brokerstate.Broker) bool {
	h := &b.Health
	if !h.ProbeDue(now) || b.Instance.Unresponsive || len(req.Calls) > 0 {
		return false
	}
	return req.Idempotent || h.Reason() == brokerstate.Unreachable || h.ProbeOverdue(now)
}

// newestFirst leaves only brokers with the newest weights shortly before the time of older ones
// ends, if they are enough for all requests. Where they are few, the older ones are used to the
// last, as all would wait at the few.
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

// firstTokenAt is when a request that is sent now has its first token, by recent latencies: what
// goes to a broker with older weights must start before their time ends. It is estimated only where
// that matters.
func (f *Finder) firstTokenAt(now core.Time, req *inflight.Request) core.Time {
	if req.ServedModel == "" || !f.versions.AnyExpiresWithin(now, req.ServedModel, MaxFirstToken) {
		return now
	}
	usual, answers := req.Class.Quantile(now, firstTokenQuantile)
	if answers < predict.MinSamples {
		usual = req.Route.TargetLatencyMs
	}
	lead := units.FromMilliseconds(FirstTokenFactor * usual * req.Work)
	return now + min(max(lead, MinFirstToken), MaxFirstToken)
}
