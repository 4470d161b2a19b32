package rollout

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// planFraction is the fraction of a version's bound within which all brokers are to have it.
	planFraction = 0.75
	// initialEstimate is how long a broker is taken to be out of service before one was observed.
	initialEstimate = 1800 * time.Millisecond
	// meanWeight is the weight of a new duration in the moving mean.
	meanWeight = 0.25
	// maxOverFastest bounds the estimate as a multiple of the fastest duration. Brokers load more
	// slowly when many do so at once; without the bound, slow loads would raise the concurrency and
	// so become slower still.
	maxOverFastest = 1.5
)

// durationEstimator learns how long a broker of one service is out of service for a version. Zero:
// nothing observed.
type durationEstimator struct {
	mean    time.Duration // exponentially weighted
	fastest time.Duration
}

func (e *durationEstimator) observe(duration time.Duration) {
	if e.mean == 0 {
		e.mean, e.fastest = duration, duration
		return
	}
	e.mean += time.Duration(meanWeight * float64(duration-e.mean))
	e.fastest = min(e.fastest, duration)
}

// estimate is how long the next broker is expected to be out of service.
func (e *durationEstimator) estimate() time.Duration {
	if e.mean == 0 {
		return initialEstimate
	}
	return min(e.mean, time.Duration(maxOverFastest*float64(e.fastest)))
}

// serviceLoad is what the concurrency limit of a service depends on.
type serviceLoad struct {
	brokers    int           // ready ones
	lacking    int           // those of them that still lack the version
	configured int           // Options.BaseConcurrency
	knownAt    core.Time     // when the version became known
	bound      time.Duration // Options.VersionBound
}

// concurrencyLimit is how many brokers of a service may be out of service at once, so that the last
// one has the version within planFraction of its bound. They follow one another without waves, so
// the last one ends about half a duration after the mean.
func (e *durationEstimator) concurrencyLimit(now core.Time, load serviceLoad) int {
	base := baseConcurrency(load.brokers, load.configured)
	planEnd := load.knownAt + core.Time(planFraction*float64(load.bound))
	estimate := e.estimate()
	timeLeft := max(planEnd-now-estimate/2, estimate/2)
	needed := int((time.Duration(load.lacking)*estimate + timeLeft - 1) / timeLeft)
	return min(max(base, needed), maxConcurrency(load.brokers, base))
}

// baseConcurrency is how many brokers of a service are out of service at once while time does not
// press: as configured, else about a sixth (at least two, at most half), as more of them load more
// slowly.
func baseConcurrency(brokers, configured int) int {
	if configured > 0 {
		return configured
	}
	sixth := (brokers + 5) / 6
	half := (brokers + 1) / 2
	return max(1, min(max(sixth, 2), half))
}

// maxConcurrency is how many brokers may be out of service at once where time presses: half, or the
// base if it is more.
func maxConcurrency(brokers, base int) int { return max(base, (brokers+1)/2) }
