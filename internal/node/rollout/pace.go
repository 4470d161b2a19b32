package rollout

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// planShare is the share of the bound of a version within which all brokers are to have it.
	planShare = 0.75
	// firstEstimate is how long a broker is taken to be out of service before one has been seen.
	firstEstimate = 1800 * time.Millisecond
	// smoothing is the weight of a new duration in the mean.
	smoothing = 0.25
	// growthLimit bounds how far above the fastest duration the estimate may lie. Brokers load more slowly when many do so at
	// once; without the limit, slow loads would ask for more at once and so become slower still.
	growthLimit = 1.5
)

// pace learns how long brokers of a service are out of service, and tells how many may be so at once.
type pace struct {
	mean    time.Duration
	fastest time.Duration
}

func (p *pace) learn(duration time.Duration) {
	if p.mean == 0 {
		p.mean, p.fastest = duration, duration
		return
	}
	p.mean += time.Duration(smoothing * float64(duration-p.mean))
	p.fastest = min(p.fastest, duration)
}

// estimate is how long the next broker is taken to be out of service.
func (p *pace) estimate() time.Duration {
	if p.mean == 0 {
		return firstEstimate
	}
	return min(p.mean, time.Duration(growthLimit*float64(p.fastest)))
}

// usual is how many of the brokers of a service are out of service at once where time does not press: about a sixth, as
// more of them load more slowly.
func usual(brokers, atOnce int) int {
	if atOnce > 0 {
		return atOnce
	}
	sixth := (brokers + 5) / 6
	half := (brokers + 1) / 2
	return max(1, min(max(sixth, 2), half))
}

// most is how many may be so where time presses.
func most(brokers, usual int) int { return max(usual, (brokers+1)/2) }

// limit is how many brokers of a service may be out of service at once, `left` being still to be brought to a version that
// became known at `known`. They follow one another without waves, so that the last one ends about half a turn after the mean.
func (p *pace) limit(now core.Time, brokers, left, atOnce int, known core.Time, bound time.Duration) int {
	least := usual(brokers, atOnce)
	planned := known + core.Time(planShare*float64(bound))
	estimate := p.estimate()
	timeLeft := max(planned-now-estimate/2, estimate/2)
	needed := int((time.Duration(left)*estimate + timeLeft - 1) / timeLeft)
	return min(max(least, needed), most(brokers, least))
}
