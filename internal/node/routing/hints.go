package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
)

// Proxies notify one another of the prompts that they send to model brokers and of how fast these
// brokers are. Thus each proxy knows the brokers nearly as well as if it had sent all requests itself.

const (
	minStepGaps         = 6    // gaps that a stream must have before the broker's step time is taken from them
	notifiedStreamShare = 0.25 // share of the streams whose step time is sent to the other proxies
)

// SentPrompt notifies other proxies of a prompt that was sent to a model broker.
type SentPrompt struct {
	Instance string // instance id
	Salt     uint64 // cachesalt.ID of Cache-Salt
	// Parts are the prompt's shared parts, in order. The broker caches them once it has prefilled the
	// prompt.
	Parts []prompt.Part
	// PrefillTokens is the number of tokens of the prompt that the broker has to prefill.
	PrefillTokens int
}

// StepTimeReport notifies other proxies, at the end of a stream, of its broker's step time.
type StepTimeReport struct {
	Instance      string    // instance id
	EventInterval core.Time // between two events while the broker prefills no other prompt
}

// RecordPeerPrompt records that another proxy sent a prompt to a model broker. It ignores unknown brokers.
func (r *Router) RecordPeerPrompt(now core.Time, sent SentPrompt) {
	b := r.brokers[sent.Instance]
	if b == nil {
		return
	}
	r.recordSentPrompt(now, r.service(b.Instance.Service).pool, b, sent.Salt, sent.Parts, sent.PrefillTokens)
}

// RecordPeerStepTime records the step time of a broker as a stream of another proxy showed it. It ignores
// unknown brokers.
func (r *Router) RecordPeerStepTime(seen StepTimeReport) {
	if b := r.brokers[seen.Instance]; b != nil && seen.EventInterval > 0 {
		b.ObserveStep(units.Milliseconds(seen.EventInterval))
	}
}

// learnStepTime records the step time of a broker as a stream of this proxy showed it, and returns the
// report for the other proxies; nil: none. The streams that are reported are drawn at random, so that
// the other proxies don't learn of unusual streams only.
func (r *Router) learnStepTime(req *request, c *brokerstate.Call, gaps EventGaps) *StepTimeReport {
	if req.ServedModel == "" || gaps.Count < minStepGaps || gaps.Typical <= 0 || !r.ejector.LatencyMeasurable(c) {
		return nil
	}
	c.Broker.ObserveStep(units.Milliseconds(gaps.Typical))
	if r.options.Random.Float64() >= notifiedStreamShare {
		return nil
	}
	return &StepTimeReport{Instance: c.Broker.Instance.ID, EventInterval: gaps.Typical}
}
