package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
)

// Proxies notify one another of what they send to model brokers and of how fast these are, so that
// each knows the brokers nearly as well as if all requests passed through it.

const (
	minStepGaps         = 6    // intervals of a stream before they tell a broker's step time
	notifiedStreamShare = 0.25 // share of the streams that the other proxies are notified of
)

// SentPrompt is what other proxies are notified of when an attempt goes to a model broker.
type SentPrompt struct {
	Instance string // instance id
	Salt     uint64 // cachesalt.ID of Cache-Salt
	// Parts are the prompt's shared parts, in order. The broker caches them once it has read the
	// prompt.
	Parts []prompt.Part
	// PrefillTokens is how many tokens of the prompt the broker has to read.
	PrefillTokens int
}

// StepReport is what other proxies are notified of when a stream has ended.
type StepReport struct {
	Instance      string    // instance id
	EventInterval core.Time // between two events while the broker reads no other prompt
}

// PeerSentPrompt tells what another proxy has sent to a model broker.
func (r *Router) PeerSentPrompt(now core.Time, sent SentPrompt) {
	b := r.brokers[sent.Instance]
	if b == nil {
		return
	}
	r.recordSentPrompt(now, r.service(b.Instance.Service).pool, b, sent.Salt, sent.Parts, sent.PrefillTokens)
}

// PeerStepReport tells what a stream of another proxy showed of a broker's pace.
func (r *Router) PeerStepReport(seen StepReport) {
	if b := r.brokers[seen.Instance]; b != nil && seen.EventInterval > 0 {
		b.ObserveStep(units.Milliseconds(seen.EventInterval))
	}
}

// learnStepTime takes what a stream of this proxy showed of its broker, and returns what the other
// proxies are to be notified of; nil: nothing. Which streams these are is chance, so that they
// don't learn only of what is unusual.
func (r *Router) learnStepTime(req *request, c *brokerstate.Call, gaps EventGaps) *StepReport {
	if req.ServedModel == "" || gaps.Count < minStepGaps || gaps.Usual <= 0 || !r.ejector.Measurable(c) {
		return nil
	}
	c.Broker.ObserveStep(units.Milliseconds(gaps.Usual))
	if r.options.Random.Float64() >= notifiedStreamShare {
		return nil
	}
	return &StepReport{Instance: c.Broker.Instance.ID, EventInterval: gaps.Usual}
}
