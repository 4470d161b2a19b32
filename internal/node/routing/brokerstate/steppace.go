package brokerstate

import "slices"

// Brokers of a service differ in speed. The time of a broker's decode steps shows in the intervals
// between the events of its streams, the shorter ones of which contain no chunk of another prompt.
// One stream shows enough, so proxies notify one another; prompts are read slower there in the same
// proportion.
const (
	// MinStepStreams is how many streams must have been observed before a broker's step time
	// counts.
	MinStepStreams = 4

	shorterStepWeight = 0.2  // weight of the newest stream in the step time, if it shows a shorter one
	longerStepWeight  = 0.04 // and if it shows a longer one: the broker may have read prompts all along
	stepOutlier       = 1.4  // times the step time believed so far, at most, that a single stream counts as
	minStepBrokers    = 4    // brokers with a known step time before they are compared
	stepNoise         = 0.15 // share of the usual step time by which brokers differ by chance
	minSlowdown       = 0.5  // times the usual step time of the service
	maxSlowdown       = 3.0
)

// ObserveStep takes in the step time, ms, that a stream showed. Beyond the first streams, a single
// one moves the average little: it may have met prefills all along.
func (b *Broker) ObserveStep(stepTime float64) {
	b.stepStreams++
	if b.stepStreams <= MinStepStreams {
		b.stepTime += (stepTime - b.stepTime) / float64(b.stepStreams)
		return
	}
	stepTime = min(max(stepTime, b.stepTime/stepOutlier), b.stepTime*stepOutlier)
	weight := longerStepWeight
	if stepTime < b.stepTime {
		weight = shorterStepWeight
	}
	b.stepTime += weight * (stepTime - b.stepTime)
}

// StepTime is the average step time, ms; 0 before the first stream.
func (b *Broker) StepTime() float64 { return b.stepTime }

// medianStepTime is the median over the brokers, ms, 0 where too few are known.
func (p *Pool) medianStepTime() float64 {
	p.stepTimes = p.stepTimes[:0]
	for _, b := range p.Brokers {
		if b.stepStreams >= MinStepStreams {
			p.stepTimes = append(p.stepTimes, b.stepTime)
		}
	}
	if len(p.stepTimes) < minStepBrokers {
		return 0
	}
	slices.Sort(p.stepTimes)
	return p.stepTimes[len(p.stepTimes)/2]
}

// slowdown is how many times as long as usual a broker takes; 1 where that isn't known.
func (p *Pool) slowdown(b *Broker) float64 {
	if !p.perBrokerPace || p.usualStepTime == 0 || b.stepStreams < MinStepStreams {
		return 1
	}
	ratio := b.stepTime / p.usualStepTime
	if ratio > 1-stepNoise && ratio < 1+stepNoise {
		return 1
	}
	return min(max(ratio, minSlowdown), maxSlowdown)
}
