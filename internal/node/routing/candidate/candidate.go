// Package candidate finds the brokers that a request may be sent to. A broker is left out if its
// lifecycle state or the version of its weights doesn't permit the request, if the request has
// already been tried there, or if it is backing off after a refusal. Ejected brokers are listed
// separately. Package placement chooses among the candidates.
package candidate

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
)

// warmUpFactor is the weight of each request at a broker that is in slow start.
const warmUpFactor = 2.0

// Candidate is a broker that a request may be sent to. Package candidate sets Broker to Probe,
// package prefixcache sets CachedTokens, ExpectedTokens and StoredTokens, and package placement
// sets the rest.
type Candidate struct {
	Broker  *brokerstate.Broker
	Version uint64  // version of the model's weights at the broker; 0: the service runs no models
	Load    float64 // estimated number of requests at the broker
	// Probe is set if the broker is ejected and the request would be its probe.
	Probe bool

	// CachedTokens is how many tokens of the prompt the broker caches, according to the index and
	// to what was sent there recently.
	CachedTokens int
	// ExpectedTokens is how many tokens of the prompt the broker caches, or will have read before a
	// new request's turn comes, according to what was sent there recently.
	ExpectedTokens int
	// StoredTokens is how many tokens of the prompt the store holds under the broker's version.
	StoredTokens int

	// HasPrediction is set once Prediction is filled in.
	HasPrediction bool
	Prediction    brokerstate.Prediction
	// TieBreak orders brokers with equally many requests in flight where the service runs no
	// models; the lowest value wins.
	TieBreak float64
	// Plan is the work that the broker has to do for the prompt, where the service runs models.
	Plan Plan
	// Cost is the expected time until the first token in ms, leaving out what is the same for all
	// brokers.
	Cost float64
}

// Plan is the work that a model broker has to do for a prompt.
type Plan struct {
	PrefillTokens  int     // tokens of the prompt that the broker has to read
	SharedTokens   int     // those of PrefillTokens that other requests may have as well
	RepeatedTokens int     // those of SharedTokens that some broker was sent recently
	PrefillTime    float64 // ms to fetch and read the prompt
}

// PredictedSlow reports whether the candidate's answer is predicted to be slow. It is false while
// there is no prediction.
func (c *Candidate) PredictedSlow() bool { return c.Prediction.Slow }

// Set holds the candidates that were found for one request.
type Set struct {
	// Eligible holds the candidates that are healthy or due to be probed.
	Eligible []Candidate
	// Ejected holds the candidates that are used only if nothing better is left.
	Ejected []Candidate
	// BackingOff is how many brokers are left out because they refused requests recently.
	// CapacityAt is when the first of them may have capacity again; core.Never: there is none.
	BackingOff int
	CapacityAt core.Time
	// AverageLoad is the average estimated load of the eligible candidates.
	AverageLoad float64

	// unresponsive holds the candidates that have missed heartbeats to the registry. They are used
	// only if no other candidate is eligible.
	unresponsive []Candidate
}

// DueProbe returns a candidate whose broker is due to be probed, or nil if there is none.
func (s *Set) DueProbe() *Candidate {
	for i := range s.Eligible {
		if s.Eligible[i].Probe {
			return &s.Eligible[i]
		}
	}
	return nil
}

// EarliestProbe returns the ejected candidate whose probe is due first, or nil if there is none.
func (s *Set) EarliestProbe() *Candidate {
	var best *Candidate
	for i := range s.Ejected {
		c := &s.Ejected[i]
		if best == nil || c.Broker.Health.ProbeAt() < best.Broker.Health.ProbeAt() {
			best = c
		}
	}
	return best
}

// AnyPredictedSlow reports whether any eligible candidate is predicted to be slow.
func (s *Set) AnyPredictedSlow() bool {
	return slices.ContainsFunc(s.Eligible, func(c Candidate) bool { return c.Prediction.Slow })
}

// estimateLoads fills in the loads of the eligible candidates and their average. A load is the
// broker's last report, corrected by the calls that this proxy has sent and finished since. As the
// report ages, the estimate moves towards the average. If no broker reports, the load is the number
// of this proxy's calls in flight.
func (s *Set) estimateLoads(now core.Time) {
	weightedSum, totalTrust, ownRequests := 0.0, 0.0, 0
	for i := range s.Eligible {
		b := s.Eligible[i].Broker
		load, trust := b.EstimatedLoad(now)
		weightedSum += trust * load
		totalTrust += trust
		ownRequests += b.InFlight()
	}
	reported := totalTrust > 0
	if s.AverageLoad = weightedSum / totalTrust; !reported {
		s.AverageLoad = float64(ownRequests) / float64(max(len(s.Eligible), 1))
	}
	for i := range s.Eligible {
		c := &s.Eligible[i]
		load, trust := c.Broker.EstimatedLoad(now)
		if c.Load = trust*load + (1-trust)*s.AverageLoad; !reported {
			c.Load = float64(c.Broker.InFlight())
		}
		if now < c.Broker.Instance.WarmingUpUntil {
			c.Load = warmUpFactor*c.Load + 1
		}
	}
}
