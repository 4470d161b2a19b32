package placement

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
)

// Weights of the criteria that break ties between brokers with equally many requests of this proxy
// in flight. The unit is the average load of the eligible brokers plus one request.
const (
	otherZoneWeight = 0.6 // added for a broker in another zone than this proxy
	latencyWeight   = 0.5 // for each median latency that the broker's answer is expected to take
	maxRandomWeight = 0.1 // upper bound of the random part
)

// chooseByLoad follows the design of LinnOS (docs/design.md): it passes over brokers that are
// predicted to be slow and takes the one with the fewest requests of this proxy in flight. Ties are
// broken by load, latency, zone and a random number. If all brokers are predicted to be slow, it
// takes the one that ranks first.
func (p *Placer) chooseByLoad(now core.Time, req *inflight.Request, s *candidate.Set) Choice {
	for i := range s.Eligible {
		s.Eligible[i].TieBreak = p.tieBreak(now, req, s, &s.Eligible[i])
	}
	chosen, allSlow := p.bestPredictedFast(now, req, s, fewestRequests)
	choice := Choice{Candidate: chosen, Reason: ByLoad, PredictionUsed: !allSlow && len(s.Eligible) > 1}
	switch {
	case allSlow:
		choice.Reason = AllSlow
	case s.AnyPredictedSlow():
		choice.Reason = ByPrediction
	}
	return choice
}

// fewestRequests returns the candidate with the fewest requests of this proxy in flight, or nil if
// there is none. It skips candidates that were predicted to be slow unless includeSlow is set.
func fewestRequests(candidates []candidate.Candidate, includeSlow bool) *candidate.Candidate {
	var best *candidate.Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.PredictedSlow() && !includeSlow {
			continue
		}
		if best == nil || c.Broker.InFlight() < best.Broker.InFlight() ||
			c.Broker.InFlight() == best.Broker.InFlight() && c.TieBreak < best.TieBreak {
			best = c
		}
	}
	return best
}

// tieBreak returns the value that orders brokers with equally many requests in flight; the lowest
// one wins.
func (p *Placer) tieBreak(now core.Time, req *inflight.Request, s *candidate.Set, c *candidate.Candidate) float64 {
	score := c.Load / (s.AverageLoad + 1)
	if median := req.Pool.Median(); median > 0 {
		score += latencyWeight * c.Broker.ExpectedLatency(now, median) / median
	}
	if c.Broker.Instance.Zone != p.zone {
		score += otherZoneWeight
	}
	return score + maxRandomWeight*p.random.Float64()
}
