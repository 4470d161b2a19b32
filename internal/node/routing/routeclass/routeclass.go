// Package routeclass keeps statistics on the requests of each route. A route is the class of
// requests over which the latency percentile for hedging is taken.
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
	// LongestWaitExpiry is how long the longest wait of the clients is remembered.
	LongestWaitExpiry = 10 * time.Second

	tokensWeight    = 0.05 // weight of the newest request in the average number of tokens
	fixedWork       = 0.5  // share of a request's work that doesn't depend on its tokens
	minWork         = 0.6
	maxWork         = 4.0
	idleExpiry      = 30 * time.Second // a class without requests for this long is removed
	refreshInterval = 250 * time.Millisecond
	firstTryShare   = 0.99 // share of the longest wait from which a request counts as a client's first try
)

// Class holds the statistics on one route's requests. Classes.Get returns the class of a route.
type Class struct {
	latencies     *window.Histogram // time to the first byte divided by the request's work, ms
	tokens        float64           // average length of a prompt
	median        float64           // of latencies, ms
	medianSamples int               // number of answers that median is computed from
	refreshedAt   core.Time
	usedAt        core.Time
	// longestWait is the longest time that a client recently had left for a request, and
	// longestWaitAt is when that request came.
	longestWait   core.Time
	longestWaitAt core.Time
}

// New returns the class of a route of which nothing is known yet.
func New() *Class {
	return &Class{latencies: brokerstate.NewLatencyHistogram(), refreshedAt: -refreshInterval}
}

// RecordPromptTokens adds the length of a request's prompt to the average.
func (c *Class) RecordPromptTokens(tokens int) {
	if c.tokens == 0 {
		c.tokens = float64(tokens)
	}
	c.tokens += tokensWeight * (float64(tokens) - c.tokens)
}

// Work returns a request's expected work relative to the average of its class. It grows with the
// tokens of the prompt, as latency does.
func (c *Class) Work(tokens int) float64 {
	if c.tokens <= 0 || tokens <= 0 {
		return 1
	}
	return min(max(fixedWork+(1-fixedWork)*float64(tokens)/c.tokens, minWork), maxWork)
}

// Scale returns how many times as long as the usual request of the pool a request of this class is
// expected to take. With latencies divided by it, all answers of a service can be compared with the
// same slow line.
func (c *Class) Scale(now core.Time, p *brokerstate.Pool, tokens int) float64 {
	if now >= c.refreshedAt+refreshInterval {
		c.refreshedAt = now
		c.median, c.medianSamples = c.Quantile(now, 0.5)
	}
	scale := c.Work(tokens)
	if c.medianSamples >= predict.MinSlowThresholdSamples && p.MedianKnown() && p.Median() > 0 {
		scale *= c.median / p.Median()
	}
	return scale
}

// RecordLatency adds a latency in ms, divided by the request's work.
func (c *Class) RecordLatency(now core.Time, latency float64) {
	c.latencies.Add(units.Milliseconds(now), latency)
}

// Quantile returns a quantile of the recent latencies in ms, for a request of average work, and the
// number of answers that it is computed from.
func (c *Class) Quantile(now core.Time, share float64) (latency float64, answers int) {
	return c.latencies.Quantile(units.Milliseconds(now), share)
}

// FirstTry reports whether a request is its client's first try. It is if at least as much time is
// left for it as was left for any recent request of the class, within firstTryShare; a client that
// tries again has less time left.
func (c *Class) FirstTry(now, left core.Time) bool {
	if left >= c.longestWait || now > c.longestWaitAt+LongestWaitExpiry {
		c.longestWait, c.longestWaitAt = left, now
	}
	return float64(left) >= firstTryShare*float64(c.longestWait)
}

// Classes holds the classes by the names of their routes. The zero value is empty and ready to use.
type Classes struct{ byRoute map[string]*Class }

// Get returns the class of a route, for a request that is received now.
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

// forgetIdle removes the classes of routes without recent requests, so that memory doesn't grow
// over a day of many configuration changes.
func (c *Classes) forgetIdle(now core.Time) {
	for name, class := range c.byRoute {
		if now-class.usedAt > idleExpiry {
			delete(c.byRoute, name)
		}
	}
}
