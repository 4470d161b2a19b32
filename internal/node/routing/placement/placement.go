// Package placement chooses which of the candidate brokers receives a request.
//
// For a service that runs models it takes the candidate with the lowest cost, which is the expected
// time until the first token: the sum of the terms in cost.go. For any other service it takes the
// candidate with the fewest requests of this proxy in flight. In both cases it passes over
// candidates whose answer is predicted to be slow (see Pool.Predict in package brokerstate), unless
// that holds for all of them.
package placement

import (
	"math/rand/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prefixcache"
)

// Reason tells why a candidate was chosen. The router counts choices by reason.
type Reason uint8

// The reasons for a choice.
const (
	ByProbe      Reason = iota // the broker is ejected and due to be probed; this request is the probe
	ByAffinity                 // the broker caches parts of the prompt, or owns them in the rendezvous order
	ByLoad                     // the broker has the fewest requests or the lowest cost
	ByPrediction               // a candidate that ranked higher was passed over because it is predicted to be slow
	AllSlow                    // all candidates are predicted to be slow, so the highest-ranked one was taken
)

// Choice is the chosen candidate and the reason for it.
type Choice struct {
	Candidate *candidate.Candidate
	Reason    Reason
	// PredictionUsed reports that there were several candidates and the chosen one is predicted to
	// be fast.
	PredictionUsed bool
}

// Placer chooses the broker for each request.
type Placer struct {
	switches mechanism.Switches
	zone     string // the zone of this proxy
	random   *rand.Rand
	cache    *prefixcache.Cache
}

// New returns a placer for a proxy in the given zone.
func New(switches mechanism.Switches, zone string, random *rand.Rand, cache *prefixcache.Cache) *Placer {
	return &Placer{switches: switches, zone: zone, random: random, cache: cache}
}

// Choose returns the best of the eligible candidates. There must be at least one. An ejected broker
// that is due to be probed takes precedence over all others.
func (p *Placer) Choose(now core.Time, req *inflight.Request, s *candidate.Set) Choice {
	if probe := s.DueProbe(); probe != nil {
		p.Predict(now, req, s, probe)
		return Choice{Candidate: probe, Reason: ByProbe}
	}
	if req.ServedModel != "" {
		return p.chooseByCost(now, req, s)
	}
	return p.chooseByLoad(now, req, s)
}

// Predict fills in the candidate's prediction, unless it already has one.
func (p *Placer) Predict(now core.Time, req *inflight.Request, s *candidate.Set, c *candidate.Candidate) {
	if c.HasPrediction {
		return
	}
	c.HasPrediction = true
	c.Prediction = req.Pool.Predict(now, c.Broker, c.Load, s.AverageLoad)
}

// bestPredictedFast returns the best candidate that isn't predicted to be slow. If all are
// predicted to be slow, it returns the best of all, with allSlow set.
//
// The predictor runs only for candidates that come up as the best. The function best ranks
// candidates. Without includeSlow it skips those already predicted to be slow, and returns nil if
// none is left.
func (p *Placer) bestPredictedFast(now core.Time, req *inflight.Request, s *candidate.Set,
	best func(candidates []candidate.Candidate, includeSlow bool) *candidate.Candidate,
) (chosen *candidate.Candidate, allSlow bool) {
	for {
		c := best(s.Eligible, false)
		if c == nil {
			return best(s.Eligible, true), true
		}
		if p.Predict(now, req, s, c); !c.PredictedSlow() {
			return c, false
		}
	}
}
