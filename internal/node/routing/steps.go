package routing

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
)

// Brokers of a service differ in speed. What a broker's steps take shows in the pauses between the events of its streams, the
// shorter ones of which hold no piece of another prompt. One stream tells enough, so proxies tell one another what differs from what
// they believed; prompts are read slower there in the same proportion.
const (
	pausesFew    = 6    // pauses of a stream before they tell a broker's step
	streamsTold  = 0.25 // share of the streams that the other proxies are told of
	stepsTrusted = 4    // streams before a broker's step counts
	stepShorter  = 0.2  // weight of the newest stream in what a broker's step takes, if it shows a shorter one
	stepLonger   = 0.04 // and if it shows a longer one: its broker may have read prompts all along
	stepOutlier  = 1.4  // times what is believed, at most, that a single stream counts as
	stepsFew     = 4    // brokers whose step is known before they are compared
	stepNoise    = 0.15 // share of the usual step by which brokers differ by chance
	speedLeast   = 0.5  // times the usual step of the service
	speedMost    = 3.0
)

// StepSeen is what other proxies are told of a stream that has ended.
type StepSeen struct {
	Instance string    // instance id
	Pause    core.Time // between two events while the broker reads no other prompt
}

// learnStep takes what a stream of this proxy showed of its broker, and returns what the other proxies are to be told; nil: nothing.
// Which streams are told of is chance, so that what others hear isn't only what is unusual.
func (r *Router) learnStep(req *request, a *attempt, pauses Pauses) *StepSeen {
	if req.model == "" || pauses.Count < pausesFew || pauses.Usual <= 0 || a.sentAt < r.awakeAt {
		return nil
	}
	a.broker.noteStep(units.Milliseconds(pauses.Usual))
	if r.options.Random.Float64() >= streamsTold {
		return nil
	}
	return &StepSeen{Instance: a.broker.instance.ID, Pause: pauses.Usual}
}

// PeerStep tells what a stream of another proxy showed of a broker's pace.
func (r *Router) PeerStep(seen StepSeen) {
	if b := r.brokers[seen.Instance]; b != nil && seen.Pause > 0 {
		b.noteStep(units.Milliseconds(seen.Pause))
	}
}

// noteStep takes a sample into the average. Beyond the first ones, a single stream moves it little: it may have met reading all along.
func (b *broker) noteStep(seen float64) {
	b.steps++
	if b.steps <= stepsTrusted {
		b.step += (seen - b.step) / float64(b.steps)
		return
	}
	seen = min(max(seen, b.step/stepOutlier), b.step*stepOutlier)
	weight := stepLonger
	if seen < b.step {
		weight = stepShorter
	}
	b.step += weight * (seen - b.step)
}

// usualStep is the median of what brokers' steps take, 0 where too few are known.
func (p *pool) usualStep() float64 {
	p.scratch = p.scratch[:0]
	for _, b := range p.brokers {
		if b.steps >= stepsTrusted {
			p.scratch = append(p.scratch, b.step)
		}
	}
	if len(p.scratch) < stepsFew {
		return 0
	}
	slices.Sort(p.scratch)
	return p.scratch[len(p.scratch)/2]
}

// slowness is how many times as long as usual a broker takes; 1 where that isn't known.
func (p *pool) slowness(b *broker) float64 {
	if !p.paced || p.step == 0 || b.steps < stepsTrusted {
		return 1
	}
	ratio := b.step / p.step
	if ratio > 1-stepNoise && ratio < 1+stepNoise {
		return 1
	}
	return min(max(ratio, speedLeast), speedMost)
}

// perToken is how long a broker takes to read a token of a prompt, ms.
func (p *pool) perToken(b *broker) float64 { return p.pace.perToken() * p.slowness(b) }
