package routing

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/prompt"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/node/routing/upstream"
)

// Proxies notify one another of what they send to model brokers and of how fast these are, so that each knows the
// brokers nearly as well as if all requests passed through it.

const (
	minIntervals  = 6    // intervals of a stream before they tell a broker's step time
	notifiedShare = 0.25 // share of the streams that the other proxies are notified of
)

// Sent is what other proxies are told of an attempt at a model broker.
type Sent struct {
	Instance string // instance id
	Salt     uint64 // cachesalt.ID of Cache-Salt
	// Parts are the prompt's shared parts, in order. The broker caches them once it has read the prompt.
	Parts []prompt.Part
	// Unread is how many tokens of the prompt the broker has to read.
	Unread int
}

// StepSeen is what other proxies are told of a stream that has ended.
type StepSeen struct {
	Instance string    // instance id
	Pause    core.Time // between two events while the broker reads no other prompt
}

// PeerSent tells what another proxy has sent to a model broker.
func (r *Router) PeerSent(now core.Time, sent Sent) {
	b := r.brokers[sent.Instance]
	if b == nil {
		return
	}
	r.recordSent(now, r.service(b.Instance.Service).pool, b, sent.Salt, sent.Parts, sent.Unread)
}

// PeerStep tells what a stream of another proxy showed of a broker's pace.
func (r *Router) PeerStep(seen StepSeen) {
	if b := r.brokers[seen.Instance]; b != nil && seen.Pause > 0 {
		b.ObserveStep(units.Milliseconds(seen.Pause))
	}
}

// learnStep takes what a stream of this proxy showed of its broker, and returns what the other proxies are to be told;
// nil: nothing. Which streams they are told of is chance, so that they don't learn only of what is unusual.
func (r *Router) learnStep(req *request, c *upstream.Call, pauses Pauses) *StepSeen {
	if req.ServedModel == "" || pauses.Count < minIntervals || pauses.Usual <= 0 || !r.ejector.Measurable(c) {
		return nil
	}
	c.Broker.ObserveStep(units.Milliseconds(pauses.Usual))
	if r.options.Random.Float64() >= notifiedShare {
		return nil
	}
	return &StepSeen{Instance: c.Broker.Instance.ID, Pause: pauses.Usual}
}
