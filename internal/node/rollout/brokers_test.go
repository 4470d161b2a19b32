package rollout

import (
	"encoding/json"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
)

// testBroker is a simulated model broker.
type testBroker struct {
	id              string
	zone            string
	version         uint64
	registryVersion uint64 // version in the registry
	fence           uint64 // mark in the registry
	busy            bool
	loadingVersion  uint64
	runDuration     time.Duration // how long its running requests last
	runsEndAt       core.Time     // when its runs have ended
	loadLeft        time.Duration // left to load
	ordersTaken     uint64
	orders          []arrival
	loads           map[uint64]int
	recentReports   []Report // oldest first
	gone            bool
}

// arrival is an order that reached a broker.
type arrival struct {
	arrivedAt core.Time
	holder    string
	fence     uint64
}

// takeOrder has a broker judge an order, and returns its status. Source: PROTOCOL.md, "Requests".
func (w *world) takeOrder(order core.SendOrder) int {
	var body versionOrderBody
	assert.NilError(w.t, json.Unmarshal(order.Body, &body))
	assert.Equal(w.t, body.Operation, "version")
	assert.Equal(w.t, body.Mode, "wait")
	b := w.broker(order.InstanceID)
	if b.gone {
		return 421
	}
	w.checkOneHolder(b, arrival{arrivedAt: w.now, holder: body.Holder, fence: body.Fence})
	switch {
	case b.version == body.Version && !b.busy:
		w.wasted++
		return 200
	case b.busy:
		w.wasted++
		return 409
	}
	b.ordersTaken++
	b.busy = true
	b.loadingVersion = body.Version
	b.runsEndAt = w.now + b.runDuration
	b.loadLeft = testLoadTime
	b.loads[body.Version]++
	return 202
}

// checkOneHolder checks an order against the rule ONE. Source: RULES.md, "Model brokers".
func (w *world) checkOneHolder(b *testBroker, next arrival) {
	for _, last := range b.orders {
		if last.holder == next.holder {
			assert.Assert(w.t, next.fence >= last.fence, "fence fell at %v", w.now)
			continue
		}
		assert.Assert(w.t, next.fence > last.fence, "fence %d of %s after %d of %s", next.fence, next.holder, last.fence, last.holder)
		assert.Assert(w.t, next.arrivedAt-last.arrivedAt > testLease, "%s and %s overlap at %s within %v at %v", last.holder, next.holder, b.id,
			next.arrivedAt-last.arrivedAt, w.now)
	}
	b.orders = append(b.orders, next)
}

// advanceLoads advances the brokers: more than fullSpeedLoads of them at once load more slowly.
func (w *world) advanceLoads() {
	loading := 0
	for _, b := range w.brokers {
		if b.busy && w.now >= b.runsEndAt {
			loading++
		}
	}
	for _, b := range w.brokers {
		if b.busy && w.now >= b.runsEndAt {
			b.loadLeft -= tick * time.Duration(min(loading, w.fullSpeedLoads)) / time.Duration(loading)
			if b.loadLeft <= 0 {
				b.busy = false
				b.version = b.loadingVersion
			}
		}
		b.recentReports = append(b.recentReports, Report{
			Models: []ReportedModel{{Name: testModel, Version: b.version}}, Busy: b.busy, Sequence: b.ordersTaken,
		})
		if len(b.recentReports) > 20 {
			b.recentReports = b.recentReports[1:]
		}
	}
}
