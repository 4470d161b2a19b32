// Package admission decides which requests a proxy refuses instead of sending them to a broker, and
// which Retry-After a refused client gets. A request is refused
//
//   - by load shedding, while its service is overloaded;
//   - as a postponed first try, if its answer would be late because of the brokers' backlog;
//   - if its deadline can't be met.
package admission

import (
	"math/rand/v2"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/inflight"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

// MinTimeLeft is the shortest time before its deadline in which a request can still be answered.
const MinTimeLeft = 15 * time.Millisecond

const (
	fastAnswerQuantile = 0.25        // latency quantile that stands for the fastest answers to be expected
	maxQueueReportAge  = time.Second // older load reports don't show whether requests wait at a broker

	maxRefusalsMostUrgent  = 4
	maxRefusalsLeastUrgent = 2

	retryBudgetShareStep = 0.1 // by which the usable share of the retry budget falls with each level of urgency
	minRetryBudgetShare  = 0.7
)

// Controller makes the admission decisions of one proxy.
type Controller struct {
	switches  mechanism.Switches
	random    *rand.Rand
	startedAt core.Time
}

// New returns the controller of a proxy that starts at now.
func New(now core.Time, switches mechanism.Switches, random *rand.Rand) *Controller {
	return &Controller{switches: switches, random: random, startedAt: now}
}

// MaxRefusals returns how many brokers may refuse a request before the proxy refuses it too and
// leaves the capacity of further brokers to other requests. The less urgent a request is (0: most
// urgent), the fewer they are.
func MaxRefusals(urgency int) int {
	return max(maxRefusalsMostUrgent-urgency, maxRefusalsLeastUrgent)
}

// RetryBudgetShare returns the share of the retry budget up to which requests of an urgency (0: most
// urgent) may be retried.
func RetryBudgetShare(urgency int) float64 {
	return max(1-retryBudgetShareStep*float64(max(urgency, 0)), minRetryBudgetShare)
}

// CannotMeetDeadline reports whether a request can't be answered before its deadline: even the
// fastest quarter of the recent answers of its class took longer than the time left, and requests
// wait at the broker.
func (c *Controller) CannotMeetDeadline(now core.Time, req *inflight.Request, b *brokerstate.Broker) bool {
	if load, recent := b.RecentReport(now, maxQueueReportAge); !recent || load.Waiting == 0 {
		return false
	}
	fast, answers := req.Class.Quantile(now, fastAnswerQuantile)
	return answers >= predict.MinSamples && fast*req.RelativeWork > units.Milliseconds(req.Deadline-now)
}
