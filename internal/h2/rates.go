package h2

import (
	"golang.org/x/net/http2"

	"kestrelspread/internal/window"
)

const (
	rateSpanMillis = 1000. // over which frames and resets are counted
	rateBuckets    = 10
	// controlFramesPerContentFrame are allowed beyond Limits.MaxControlFramesPerSecond.
	controlFramesPerContentFrame = 4
)

// rates counts what a peer did lately, to bound the work that it can cause for nothing.
type rates struct {
	controlFrames *window.Counts // frames without content
	contentFrames *window.Counts // header blocks and data, in either direction
	resets        *window.Counts // streams that were started and reset
}

func newRates() rates {
	counts := func() *window.Counts { return window.NewCounts(rateBuckets, rateSpanMillis/rateBuckets) }
	return rates{controlFrames: counts(), contentFrames: counts(), resets: counts()}
}

// countContentFrame counts a frame with content.
func (c *Conn) countContentFrame() { c.rates.contentFrames.Add(c.now, 1) }

// countControlFrame counts a frame without content: a peer may cost no work beyond what it brings.
func (c *Conn) countControlFrame() error {
	c.rates.controlFrames.Add(c.now, 1)
	allowed := float64(c.limits.MaxControlFramesPerSecond) +
		controlFramesPerContentFrame*c.rates.contentFrames.Sum(c.now, rateSpanMillis)
	if c.rates.controlFrames.Sum(c.now, rateSpanMillis) > allowed {
		return connectionError(http2.ErrCodeEnhanceYourCalm, "too many frames that carry nothing")
	}
	return nil
}

// countReset counts a stream that was started and reset: each costs the start of a request and brings
// nothing.
func (c *Conn) countReset() error {
	c.rates.resets.Add(c.now, 1)
	if c.rates.resets.Sum(c.now, rateSpanMillis) > float64(c.limits.MaxResetsPerSecond) {
		return connectionError(http2.ErrCodeEnhanceYourCalm, "too many streams begun and reset")
	}
	return nil
}
