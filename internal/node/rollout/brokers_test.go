package rollout

import (
	"encoding/json"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
)

// testBroker is one broker.
type testBroker struct {
	id       string
	zone     string
	version  uint64
	told     uint64 // version in the registry
	fence    uint64 // mark in the registry
	busy     bool
	bringing uint64
	runs     time.Duration // how long its runs last at any moment
	waitEnd  core.Time     // when its runs have ended
	work     time.Duration // left to load
	sequence uint64
	orders   []arrival
	loads    map[uint64]int
	old      []Report // its reports of the last moments, oldest first
	gone     bool
}

// arrival is an order that reached a broker.
type arrival struct {
	at     core.Time
	holder string
	fence  uint64
}

// arrive is a broker that takes an order. Source: PROTOCOL.md, "Requests".
func (w *world) arrive(order core.SendOrder) int {
	var body versionOrderBody
	assert.NilError(w.t, json.Unmarshal(order.Body, &body))
	assert.Equal(w.t, body.Op, "version")
	assert.Equal(w.t, body.Mode, "wait")
	b := w.broker(order.InstanceID)
	if b.gone {
		return 421
	}
	w.judge(b, arrival{at: w.now, holder: body.Holder, fence: body.Fence})
	switch {
	case b.version == body.Version && !b.busy:
		w.wasted++
		return 200
	case b.busy:
		w.wasted++
		return 409
	}
	b.sequence++
	b.busy = true
	b.bringing = body.Version
	b.waitEnd = w.now + b.runs
	b.work = testLoadTime
	b.loads[body.Version]++
	return 202
}

// judge holds an order against the rule ONE. Source: RULES.md, "Model brokers".
func (w *world) judge(b *testBroker, next arrival) {
	for _, last := range b.orders {
		if last.holder == next.holder {
			assert.Assert(w.t, next.fence >= last.fence, "fence fell at %v", w.now)
			continue
		}
		assert.Assert(w.t, next.fence > last.fence, "fence %d of %s after %d of %s", next.fence, next.holder, last.fence, last.holder)
		assert.Assert(w.t, next.at-last.at > testLease, "%s and %s take turns at %s within %v at %v", last.holder, next.holder, b.id,
			next.at-last.at, w.now)
	}
	b.orders = append(b.orders, next)
}

// load lets the brokers go on: more than atOnce of them load more slowly.
func (w *world) load() {
	loading := 0
	for _, b := range w.brokers {
		if b.busy && w.now >= b.waitEnd {
			loading++
		}
	}
	for _, b := range w.brokers {
		if b.busy && w.now >= b.waitEnd {
			b.work -= tick * time.Duration(min(loading, w.atOnce)) / time.Duration(loading)
			if b.work <= 0 {
				b.busy = false
				b.version = b.bringing
			}
		}
		b.old = append(b.old, Report{
			Models: []ReportedModel{{Name: testModel, Version: b.version}}, Busy: b.busy, Sequence: b.sequence,
		})
		if len(b.old) > 20 {
			b.old = b.old[1:]
		}
	}
}
