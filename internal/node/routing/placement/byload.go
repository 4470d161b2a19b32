package placement

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/candidate"
	"kestrelspread/internal/node/routing/inflight"
)

// Weights of what breaks ties between brokers with as many own requests, in average loads.
const (
	otherZoneWeight = 0.6 // a broker in another zone
	latencyWeight   = 0.5 // each median of its latency
	maxRandomWeight = 0.1 // at most, by chance
)

// chooseByLoad is the choice of LinnOS's design (docs/design.md): predicted-slow brokers are passed over, and of the rest the
// one with the fewest own requests takes it; ties go by load, latency, the own zone and chance. If
// all look slow, the first still takes it.
func (p *Placer) chooseByLoad(now core.Time, req *inflight.Request, s *candidate.Set) Choice {
	for i := range s.Eligible {
		s.Eligible[i].TieBreak = p.tieBreak(now, req, s, &s.Eligible[i])
	}
	chosen, slow := p.bestPredictedFast(now, req, s, fewestRequests)
	choice := Choice{Candidate: chosen, Reason: ByLoad, Predicted: !slow && len(s.Eligible) > 1}
	switch {
	case slow:
		choice.Reason = AllSlow
	case s.AnyPredictedSlow():
		choice.Reason = ByPrediction
	}
	return choice
}

// fewestRequests is the candidate with the fewest own requests, of those not known to look slow or
// of all; nil where there is none.
func fewestRequests(found []candidate.Candidate, withSlow bool) *candidate.Candidate {
	var best *candidate.Candidate
	for i := range found {
		c := &found[i]
		if c.Slow() && !withSlow {
			continue
		}
		if best == nil || c.Broker.InFlight() < best.Broker.InFlight() ||
			c.Broker.InFlight() == best.Broker.InFlight() && c.TieBreak < best.TieBreak {
			best = c
		}
	}
	return best
}

func (p *Placer) tieBreak(now core.Time, req *inflight.Request, s *candidate.Set, c *candidate.Candidate) float64 {
	tie := c.Load / (s.AverageLoad + 1)
	if median := req.Pool.Median(); median > 0 {
		tie += latencyWeight * c.Broker.ExpectedLatency(now, median) / median
	}
	if c.Broker.Instance.Zone != p.zone {
		tie += otherZoneWeight
	}
	return tie + maxRandomWeight*p.random.Float64()
}
