package routing

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/window"
)

// A service that is asked for more than it can do answers all too late, as each request waits behind others that are late
// already. Then some are refused, the least urgent first, so that the rest is in time (RULES.md, "Worth" and "Prices").
const (
	overloadSpan   = 1500. // ms
	overloadEvery  = 250 * time.Millisecond
	overloadFew    = 8
	overloadLate   = 1.0 // latency over target that more than the share below exceeds
	overloadBest   = 0.3
	overloadRaise  = 0.08
	overloadLower  = 0.04
	overloadMost   = 0.8
	overloadBusy   = 0.5 // of the brokers must have requests waiting, or half of their places taken
	overloadReport = 2 * time.Second
	ratioLow       = 0.01
)

// overload measures whether answers are late, over all of a service's routes.
type overload struct {
	ratios    *window.Hist // latency over target
	shed      float64      // share of the least urgent requests to be refused
	updatedAt core.Time
	least     int // urgency of the least urgent lately
	most      int
	seenAt    core.Time
}

func newOverload() overload {
	return overload{ratios: window.NewHist(6, overloadSpan/5, ratioLow, 1.15, 70)}
}

// came notes a request's urgency.
func (o *overload) came(now core.Time, urgency int) {
	if now-o.seenAt > 10*time.Second || o.seenAt == 0 {
		o.least, o.most = urgency, urgency
	}
	o.seenAt = now
	o.least, o.most = max(o.least, urgency), min(o.most, urgency)
}

// refresh raises or lowers the share to be refused.
func (o *overload) refresh(now core.Time, p *pool) {
	if now < o.updatedAt+overloadEvery {
		return
	}
	o.updatedAt = now
	best, n := o.ratios.Quantile(units.Milliseconds(now), overloadBest)
	if n >= overloadFew && best > overloadLate && p.busy(now) {
		o.shed = min(o.shed+overloadRaise, overloadMost)
	} else {
		o.shed = max(o.shed-overloadLower, 0)
	}
}

// busy reports whether most brokers that told lately have requests waiting, or half of their places taken: else a refusal
// would be one that isn't needed.
func (p *pool) busy(now core.Time) bool {
	told, busy := 0, 0
	for _, b := range p.brokers {
		if !b.report.heard || now-b.report.at > overloadReport {
			continue
		}
		told++
		if load := b.report.load; load.Waiting > 0 || 2*load.Running >= load.Slots {
			busy++
		}
	}
	return told > 0 && float64(busy) >= overloadBusy*float64(told)
}

// chance is the share of requests of an urgency to be refused: of the most urgent none before half of the least are.
func (o *overload) chance(urgency int) float64 {
	if o.shed == 0 {
		return 0
	}
	if o.least > o.most && urgency == o.most {
		return max(2*o.shed-1, 0)
	}
	return o.shed
}
