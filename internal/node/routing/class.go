package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	tokensWeight = 0.05 // of the newest request in a class's usual tokens
	fixedWork    = 0.5  // share of a request's time that doesn't grow with its tokens
	workLeast    = 0.6
	workMost     = 4.0
	classKept    = 30 * time.Second // without a request
)

// class is what is usual of one route's requests: the kind of request that the design's percentile is taken over.
type class struct {
	latencies *window.Hist // to the first byte, over the request's work, ms
	tokens    float64      // usual prompt
	median    float64
	seen      int
	updatedAt core.Time
	usedAt    core.Time
	// longest is the most time that a client had lately for a request, and longestAt when.
	longest   core.Time
	longestAt core.Time
}

func newClass() *class { return &class{latencies: newLatencies(), updatedAt: -refreshKept} }

func (c *class) came(tokens int) {
	if c.tokens == 0 {
		c.tokens = float64(tokens)
	}
	c.tokens += tokensWeight * (float64(tokens) - c.tokens)
}

// work is a request's expected work against the usual of its class: latency follows the tokens of its prompt.
func (c *class) work(tokens int) float64 {
	if c.tokens <= 0 || tokens <= 0 {
		return 1
	}
	return min(max(fixedWork+(1-fixedWork)*float64(tokens)/c.tokens, workLeast), workMost)
}

// scale is how much longer a request of the class takes than the usual one of the pool, so that all answers of a service
// can be measured against one line.
func (c *class) scale(now core.Time, p *pool, tokens int) float64 {
	if now >= c.updatedAt+refreshKept {
		c.updatedAt = now
		c.median, c.seen = c.latencies.Quantile(units.Milliseconds(now), 0.5)
	}
	scale := c.work(tokens)
	if c.seen >= predict.LineFew && p.seen >= predict.Few && p.median > 0 {
		scale *= c.median / p.median
	}
	return scale
}
