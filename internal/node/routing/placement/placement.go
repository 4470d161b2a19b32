// Package placement chooses, among the candidates for a request, the broker that gets it.
//
// For services that run models, it is the candidate with the lowest cost: the expected time until
// the first token, as the sum of the terms in file cost.go. For other services it is the candidate
// with the fewest own requests. In both cases candidates that are predicted slow are passed over
// (LinnOS's predictor), unless all are.
package placement

import (
	"math/rand/v2"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prefixcache"
)

// Reason is why a candidate was chosen, for counters.
type Reason uint8

// The reasons.
const (
	ByProbe      Reason = iota // its broker was ejected, and the request is its probe
	ByAffinity                 // it has parts of the prompt, or should have
	ByLoad                     // the fewest requests or the least work
	ByPrediction               // others that were better otherwise are predicted slow
	AllSlow                    // all are predicted slow, and the first of all took it
)

// Choice is a chosen candidate.
type Choice struct {
	Candidate *candidate.Candidate
	Reason    Reason
	// Predicted: the prediction chose among several candidates.
	Predicted bool
}

// Placer chooses brokers.
type Placer struct {
	switches mechanism.Switches
	zone     string // of this proxy
	random   *rand.Rand
	cache    *prefixcache.Cache
}

// New makes a placer for a proxy in a zone.
func New(switches mechanism.Switches, zone string, random *rand.Rand, cache *prefixcache.Cache) *Placer {
	return &Placer{switches: switches, zone: zone, random: random, cache: cache}
}

// Choose chooses among the eligible candidates, of which there must be one at least.
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

// Predict fills in a candidate's prediction.
func (p *Placer) Predict(now core.Time, req *inflight.Request, s *candidate.Set, c *candidate.Candidate) {
	if c.HasPrediction {
		return
	}
	c.HasPrediction = true
	c.Prediction = req.Pool.Predict(now, c.Broker, c.Load, s.AverageLoad)
}

// bestPredictedFast takes the best candidate by an order that isn't predicted slow; if all are, the best of
// all. best returns nil where no candidate is left. slow: all were predicted slow.
func (p *Placer) bestPredictedFast(now core.Time, req *inflight.Request, s *candidate.Set,
	best func(found []candidate.Candidate, withSlow bool) *candidate.Candidate,
) (chosen *candidate.Candidate, slow bool) {
	for {
		c := best(s.Eligible, false)
		if c == nil {
			return best(s.Eligible, true), true
		}
		if p.Predict(now, req, s, c); !c.Slow() {
			return c, false
		}
	}
}
