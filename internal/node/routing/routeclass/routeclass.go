// Package routeclass knows what is usual of one route's requests: the kind of requests that the
// design's percentile of latencies is taken over.
package routeclass

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
	"kestrelspread/internal/window"
)

const (
	// LongestWaitKept is how long the longest wait of the clients is remembered.
	LongestWaitExpiry = 10 * time.Second

	tokensWeight    = 0.05 // of the newest request in a class's usual tokens
	fixedWork       = 0.5  // share of a request's time that doesn't grow with its tokens
	minWork         = 0.6
	maxWork         = 4.0
	idleExpiry      = 30 * time.Second // a class is forgotten after that time without a request
	refreshInterval = 250 * time.Millisecond
	firstTryShare   = 0.99 // of the longest wait that a client's first try has left
)

// Class is what is usual of one route's requests. Make one by Classes.Get.
type Class struct {
	latencies     *window.Histogram // to the first byte, divided by the request's work, ms
	tokens        float64           // usual length of a prompt
	median        float64           // of latencies, ms
	medianSamples int               // that it stands on
	refreshedAt   core.Time
	usedAt        core.Time
	// longestWait is the most time that a client had recently for a request, and longestWaitAt
	// when.
	longestWait   core.Time
	longestWaitAt core.Time
}

// New makes the class of a route that nothing is known of.
func New() *Class {
	return &Class{latencies: brokerstate.NewLatencyHistogram(), refreshedAt: -refreshInterval}
}

// Received takes in the length of a request's prompt.
func (c *Class) Received(tokens int) {
	if c.tokens == 0 {
		c.tokens = float64(tokens)
	}
	c.tokens += tokensWeight * (float64(tokens) - c.tokens)
}

// Work is a request's expected work against the usual of its class: latency follows the tokens of
// its prompt.
func (c *Class) Work(tokens int) float64 {
	if c.tokens <= 0 || tokens <= 0 {
		return 1
	}
	return min(max(fixedWork+(1-fixedWork)*float64(tokens)/c.tokens, minWork), maxWork)
}

// Scale is how much longer a request of the class takes than the usual one of the pool, so that all
// answers of a service can be measured against one line.
func (c *Class) Scale(now core.Time, p *brokerstate.Pool, tokens int) float64 {
	if now >= c.refreshedAt+refreshInterval {
		c.refreshedAt = now
		c.median, c.medianSamples = c.Quantile(now, 0.5)
	}
	scale := c.Work(tokens)
	if c.medianSamples >= predict.MinSlowLineSamples && p.MedianKnown() && p.Median() > 0 {
		scale *= c.median / p.Median()
	}
	return scale
}

// Learn takes a latency in, ms, divided by the request's work.
func (c *Class) Learn(now core.Time, latency float64) {
	c.latencies.Add(units.Milliseconds(now), latency)
}

// Quantile is a quantile of the recent latencies, ms, for the usual work, and how many answers it
// stands on.
func (c *Class) Quantile(now core.Time, share float64) (latency float64, answers int) {
	return c.latencies.Quantile(units.Milliseconds(now), share)
}

// FirstTry reports whether a request is its client's first try: as much time is left for it as any
// of the class had recently. A client that tries again has less.
func (c *Class) FirstTry(now, left core.Time) bool {
	if left >= c.longestWait || now > c.longestWaitAt+LongestWaitExpiry {
		c.longestWait, c.longestWaitAt = left, now
	}
	return float64(left) >= firstTryShare*float64(c.longestWait)
}

// Classes are the classes by route.
type Classes struct{ byRoute map[string]*Class }

// Get is the class of a route, for a request that was received now.
func (c *Classes) Get(now core.Time, route string) *Class {
	class := c.byRoute[route]
	if class == nil {
		c.forgetIdle(now)
		class = New()
		if c.byRoute == nil {
			c.byRoute = make(map[string]*Class)
		}
		c.byRoute[route] = class
	}
	class.usedAt = now
	return class
}

// forgetIdle drops the classes of routes without recent requests, so that a day of many changes
// leaves nothing behind.
func (c *Classes) forgetIdle(now core.Time) {
	for name, class := range c.byRoute {
		if now-class.usedAt > idleExpiry {
			delete(c.byRoute, name)
		}
	}
}
