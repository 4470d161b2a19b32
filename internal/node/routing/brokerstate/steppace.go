package brokerstate

import "slices"

// The brokers of a service differ in speed. A broker's decode step time is measured as the interval
// between the events of a stream; the shorter intervals contain no chunk of another prompt. One
// stream is enough for a measurement, so proxies send it to one another. A broker with slower steps
// is assumed to read prompts slower in the same proportion.
const (
	// MinStepStreams is the number of streams that must have been observed before a broker's step
	// time is used.
	MinStepStreams = 4

	shorterStepWeight = 0.2  // weight of a new stream in the average, if it is faster than the average
	longerStepWeight  = 0.04 // weight if it is slower, as the broker may have read prompts throughout
	stepOutlier       = 1.4  // a single stream counts as at most this factor above or below the average
	minStepBrokers    = 4    // brokers with a known step time below which they aren't compared
	stepNoise         = 0.15 // relative difference from the usual step time that is taken for noise
	minSlowdown       = 0.5  // relative to the usual step time of the service
	maxSlowdown       = 3.0  // relative to the usual step time of the service
)

// ObserveStep adds the step time in ms that was measured on a stream. After the first streams, a
// single one has little weight: the broker may have read other prompts throughout.
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

// StepTime returns the average step time in ms, or 0 before the first stream.
func (b *Broker) StepTime() float64 { return b.stepTime }

// medianStepTime returns the median of the brokers' step times in ms, or 0 if too few are known.
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

// slowdown returns how many times as long as usual the broker takes; 1 if that isn't known.
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
