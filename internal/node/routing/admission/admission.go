// Package admission decides which requests are rejected rather than sent: load shedding while a
// service is overloaded, first tries that would be late and are postponed, requests whose deadline
// can't be met; and what a refused client is advised to do.
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

// MinTimeLeft is the time before its deadline from which a request can't be answered.
const MinTimeLeft = 15 * time.Millisecond

const (
	fastAnswerQuantile = 0.25        // of latencies: where even that exceeds the time left, there is no chance
	maxQueueReportAge  = time.Second // older reports of a broker's waiting requests don't count

	maxRefusalsMostUrgent  = 4
	maxRefusalsLeastUrgent = 2
	retryBudgetShareStep   = 0.1 // of the retry budget less for each step of urgency
	minRetryBudgetShare    = 0.7
)

// Controller decides on admission for one proxy.
type Controller struct {
	switches  mechanism.Switches
	random    *rand.Rand
	startedAt core.Time
}

// New makes a gate of a proxy that starts now.
func New(now core.Time, switches mechanism.Switches, random *rand.Rand) *Controller {
	return &Controller{switches: switches, random: random, startedAt: now}
}

// MaxRefusals is how many brokers may turn a request away before it gives its place at one more to
// another request: the least urgent give up first.
func MaxRefusals(urgency int) int { return max(maxRefusalsMostUrgent-urgency, maxRefusalsLeastUrgent) }

// RetryBudgetShare is the part of the retry budget that requests of an urgency may use up.
func RetryBudgetShare(urgency int) float64 {
	return max(1-retryBudgetShareStep*float64(max(urgency, 0)), minRetryBudgetShare)
}

// CannotMeetDeadline reports whether a request can't be answered in the time left: even the quickest of the
// recent answers took longer, and requests wait at the broker.
func (g *Controller) CannotMeetDeadline(now core.Time, req *inflight.Request, b *brokerstate.Broker) bool {
	if load, recent := b.RecentReport(now, maxQueueReportAge); !recent || load.Waiting == 0 {
		return false
	}
	quick, answers := req.Class.Quantile(now, fastAnswerQuantile)
	return answers >= predict.MinSamples && quick*req.Work > units.Milliseconds(req.Deadline-now)
}
