// Package candidate finds the brokers that a request may go to: those that the rules permit
// (lifecycle, versions of weights), that haven't had the request yet, that don't back off after a
// refusal, and that aren't ejected. Which of them gets the request is for package placement to
// choose.
package candidate

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
)

// warmUpFactor is what each request counts at a broker that is in slow start.
const warmUpFactor = 2.0

// Candidate is a broker that a request may go to. Package candidate fills in what stands first,
// prefixcache the coverage, placement the rest.
type Candidate struct {
	Broker  *brokerstate.Broker
	Version uint64  // of the model's weights there; 0: the service runs no models
	Load    float64 // estimated requests there
	// Probe: the broker was ejected, and the request would be its probe.
	Probe bool

	// Cached is how many tokens of the prompt the broker has, by the index and by what was sent
	// there recently.
	Cached int
	// Arriving is how many it has or will have read before a new request's turn.
	Arriving int
	// Stored is how many the prompt's store has under the broker's version.
	StoredTokens int

	// Predicted: Prediction is filled in.
	HasPrediction bool
	Prediction    brokerstate.Prediction
	// TieBreak orders brokers with as many own requests, where the service runs no models.
	TieBreak float64
	// Plan is what the broker has to do for the prompt, where the service runs models.
	Plan Plan
	// Cost is the time until the first token, as far as brokers differ in it, ms.
	Cost float64
}

// Plan is what a model broker has to do for a prompt.
type Plan struct {
	PrefillTokens  int     // it has to read
	SharedTokens   int     // shared ones of these
	RepeatedTokens int     // those of the shared ones that some broker was sent recently
	PrefillTime    float64 // ms to fetch and read the prompt
}

// Slow reports whether the candidate was predicted slow.
func (c *Candidate) Slow() bool { return c.Prediction.Slow }

// Set is the candidates that were found for one request.
type Set struct {
	// Eligible candidates are healthy, or due to be probed.
	Eligible []Candidate
	// Ejected candidates are not to be used unless nothing better is left.
	Ejected []Candidate
	// BackingOff is how many brokers refused requests recently, and CapacityAt when the first of
	// them may have capacity.
	BackingOff int
	CapacityAt core.Time
	// AverageLoad of the eligible ones.
	AverageLoad float64

	// unresponsive candidates miss heartbeats to the registry: used where no other one is eligible.
	unresponsive []Candidate
}

// DueProbe is the candidate whose broker is to be probed, nil where there is none.
func (s *Set) DueProbe() *Candidate {
	for i := range s.Eligible {
		if s.Eligible[i].Probe {
			return &s.Eligible[i]
		}
	}
	return nil
}

// FirstEjected is the ejected candidate whose probe is due first, nil where there is none.
func (s *Set) FirstEjected() *Candidate {
	var best *Candidate
	for i := range s.Ejected {
		c := &s.Ejected[i]
		if best == nil || c.Broker.Health.ProbeAt() < best.Broker.Health.ProbeAt() {
			best = c
		}
	}
	return best
}

// AnyPredictedSlow reports whether some eligible candidate was predicted slow.
func (s *Set) AnyPredictedSlow() bool {
	return slices.ContainsFunc(s.Eligible, func(c Candidate) bool { return c.Prediction.Slow })
}

// estimateLoads fills in the eligible candidates' loads: the last report corrected by own calls,
// faded to the average as it ages; own calls where no broker reports.
func (s *Set) estimateLoads(now core.Time) {
	sum, trusts, own := 0.0, 0.0, 0
	for i := range s.Eligible {
		b := s.Eligible[i].Broker
		load, trust := b.EstimatedLoad(now)
		sum += trust * load
		trusts += trust
		own += b.InFlight()
	}
	reported := trusts > 0
	if s.AverageLoad = sum / trusts; !reported {
		s.AverageLoad = float64(own) / float64(max(len(s.Eligible), 1))
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
