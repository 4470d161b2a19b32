package routing

import (
	"slices"

	"kestrelspread/internal/node/core"
)

// Brokers of a service differ in speed. What a broker's steps take shows in the pauses between the events of its streams, the
// shorter ones of which hold no piece of another prompt. One stream tells enough, so proxies tell one another what differs from what
// they believed; prompts are read slower there in the same proportion.
const (
	pausesFew    = 6    // pauses of a stream before they tell a broker's step
	streamsTold  = 0.25 // share of the streams that the other proxies are told of
	stepsTrusted = 4    // streams before a broker's step counts
	stepWeight   = 0.15 // of the newest stream in what a broker's step takes
	stepOutlier  = 1.4  // times what is believed, at most, that a single stream counts as
	stepsFew     = 4    // brokers whose step is known before they are compared
	stepNoise    = 0.08 // share of the usual step by which brokers differ by chance
	speedLeast   = 0.5  // times the usual step of the service
	speedMost    = 3.0
)

// StreamSeen is what other proxies are told of a stream that has ended.
type StreamSeen struct {
	Instance string    // instance id
	Usual    core.Time // pause between two events while the broker reads no other prompt
	Longest  core.Time // pause between two events
	Lasted   core.Time // from the send to the end
}

// noteStep takes a sample into the average. Beyond the first ones, a single stream moves it little: it may have met reading all along.
func (b *broker) noteStep(seen float64) {
	b.steps++
	if b.steps <= stepsTrusted {
		b.step += (seen - b.step) / float64(b.steps)
		return
	}
	seen = min(max(seen, b.step/stepOutlier), b.step*stepOutlier)
	b.step += stepWeight * (seen - b.step)
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
