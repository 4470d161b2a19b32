package rollout

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// planFraction is the share of the bound of a version within which all brokers are to have it.
	planFraction = 0.75
	// initialEstimate is how long a broker is taken to be out of service before one has been seen.
	initialEstimate = 1800 * time.Millisecond
	// meanWeight is the weight of a new duration in the mean.
	meanWeight = 0.25
	// maxOverFastest bounds how far above the fastest duration the estimate may lie. Brokers load more slowly when many do so at
	// once; without the limit, slow loads would ask for more at once and so become slower still.
	maxOverFastest = 1.5
)

// durationEstimator learns how long brokers of a service are out of service, and tells how many may be so at once.
type durationEstimator struct {
	mean    time.Duration
	fastest time.Duration
}

func (p *durationEstimator) observe(duration time.Duration) {
	if p.mean == 0 {
		p.mean, p.fastest = duration, duration
		return
	}
	p.mean += time.Duration(meanWeight * float64(duration-p.mean))
	p.fastest = min(p.fastest, duration)
}

// estimate is how long the next broker is taken to be out of service.
func (p *durationEstimator) estimate() time.Duration {
	if p.mean == 0 {
		return initialEstimate
	}
	return min(p.mean, time.Duration(maxOverFastest*float64(p.fastest)))
}

// baseConcurrency is how many of the brokers of a service are out of service at once where time does not press: about a sixth, as
// more of them load more slowly.
func baseConcurrency(brokers, configured int) int {
	if configured > 0 {
		return configured
	}
	sixth := (brokers + 5) / 6
	half := (brokers + 1) / 2
	return max(1, min(max(sixth, 2), half))
}

// maxConcurrency is how many may be so where time presses.
func maxConcurrency(brokers, base int) int { return max(base, (brokers+1)/2) }

// concurrencyLimit is how many brokers of a service may be out of service at once, `left` being still to be brought to a version that
// became known at `known`. They follow one another without waves, so that the last one ends about half a turn after the mean.
func (p *durationEstimator) concurrencyLimit(now core.Time, brokers, left, atOnce int, known core.Time, bound time.Duration) int {
	least := baseConcurrency(brokers, atOnce)
	planned := known + core.Time(planFraction*float64(bound))
	estimate := p.estimate()
	timeLeft := max(planned-now-estimate/2, estimate/2)
	needed := int((time.Duration(left)*estimate + timeLeft - 1) / timeLeft)
	return min(max(least, needed), maxConcurrency(brokers, least))
}
