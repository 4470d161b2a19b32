package rollout

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	self           = "node-a"
	other          = "node-b"
	takeoverWait   = testLease + HeadLeaseDuration + testThaw
	testStep       = 50 * time.Millisecond
	headSince      = 20 * time.Second // when the node of these tests becomes head
	maxPromptDelay = time.Second      // an order sent within it has not waited for a previous holder
)

// harness runs one machine alone: marks are confirmed and grants committed at once.
type harness struct {
	now              core.Time
	machine          *Rollout
	situation        Situation
	barriersComplete bool // barriers of the head complete
	grantsCommit     bool // submitted changes are committed
	orders           []core.SendOrder
	submitted        []*nodepb.LeaseChange
	marks            map[string]uint64
	report           *Report // what brokers answer; nil: nothing
}

func newHarness() *harness {
	return &harness{
		now:              headSince,
		machine:          New(Options{Lease: testLease, ThawGrace: testThaw, VersionBound: testVersion}),
		barriersComplete: true,
		grantsCommit:     true,
		marks:            map[string]uint64{},
		situation: Situation{
			Head: true, Epoch: 7, HolderID: self, GrantAsOf: headSince,
			Targets: []Target{{Model: testModel, Version: 2, KnownAt: headSince}},
			Instances: []*nodepb.Instance{{
				Id: "i-1", Service: testService, Address: "10.0.0.1:80",
				Models: []*nodepb.ModelOnInstance{{Name: testModel, Version: 1}},
			}},
		},
	}
}

// step takes one step and carries out its outputs.
func (d *harness) step() {
	if d.barriersComplete {
		d.situation.HeadLeaseStart = d.now - 10*time.Millisecond
	}
	d.carryOut(d.machine.Step(d.now, &d.situation))
}

func (d *harness) carryOut(outputs []core.Output) {
	for _, output := range outputs {
		switch output := output.(type) {
		case core.SendOrder:
			d.orders = append(d.orders, output)
		case core.MarkLoading:
			d.marks[output.InstanceID] = output.FencingToken
			d.machine.MarkDone(d.now, output.InstanceID)
		case core.FetchReport:
			if d.report != nil {
				d.carryOut(d.machine.ReportDone(d.now, output.Token, d.report, nil))
			}
		case core.SubmitCommand:
			change := output.Command.GetLease()
			d.submitted = append(d.submitted, change)
			if d.grantsCommit {
				d.situation.Grant = change
				d.machine.GrantDone(d.now, &nodepb.CommandResult{Code: nodepb.ResultCode_TAKEN})
			}
		}
	}
}

// run takes steps for a time, or until one more order is sent.
func (d *harness) run(length time.Duration) (ordered bool) {
	before := len(d.orders)
	for end := d.now + length; d.now < end && len(d.orders) == before; d.now += testStep {
		d.step()
	}
	return len(d.orders) > before
}

// TestFirstOrderWaitsForPreviousHolder lists the grants that a node may find when it becomes head.
// Source: RULES.md, ONE.
func TestFirstOrderWaitsForPreviousHolder(t *testing.T) {
	open := func(holder string) *nodepb.LeaseChange {
		return &nodepb.LeaseChange{Role: RoleName, Holder: holder, FencingToken: 6 << fenceEpochShift, Claims: []string{"i-0", "i-1"}}
	}
	elsewhere := open(other)
	elsewhere.Claims = []string{"i-0", "i-2"}
	inherited := open(self)
	inherited.InheritedClaims = []string{"i-1"}
	released := open(other)
	released.Released = true
	for _, test := range []struct {
		name  string
		grant *nodepb.LeaseChange
		asOf  core.Time
		waits bool
	}{
		{"nothing", nil, headSince, false},
		{"released", released, headSince, false},
		{"another's open grant", open(other), headSince, true},
		{"an open grant of an earlier incarnation of this machine", open(self), headSince, false},
		{"the same, which inherited the broker from another", inherited, headSince, true},
		{"the same, as of before this headship", open(self), headSince - time.Millisecond, true},
		{"another's open grant that does not claim the broker", elsewhere, headSince, false},
		{"the same, as of before this headship", elsewhere, headSince - time.Millisecond, true},
		{"nothing, as of before this headship", nil, headSince - time.Millisecond, true},
		{"released, as of before this headship", released, headSince - time.Millisecond, true},
		{"nothing, as of no known time", nil, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newHarness()
			d.situation.Grant, d.situation.GrantAsOf = test.grant, test.asOf
			assert.Assert(t, d.run(10*time.Second))
			waited := d.now - headSince
			if test.waits {
				assert.Assert(t, waited >= takeoverWait, "%v", waited)
				assert.Assert(t, waited < takeoverWait+maxPromptDelay, "%v", waited)
			} else {
				assert.Assert(t, waited < maxPromptDelay, "%v", waited)
			}
		})
	}
}

func TestNoOrderWithoutLeaseGrantOrHeadship(t *testing.T) {
	for _, test := range []struct {
		name       string
		breakLease func(*harness)
	}{
		{"no barrier has completed", func(d *harness) { d.barriersComplete = false }},
		{"the last barrier is too old", func(d *harness) {
			d.barriersComplete = false
			d.situation.HeadLeaseStart = headSince - HeadLeaseDuration
		}},
		{"the grant is not committed", func(d *harness) { d.grantsCommit = false }},
		{"not the head", func(d *harness) { d.situation.Head = false }},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newHarness()
			test.breakLease(d)
			assert.Assert(t, !d.run(15*time.Second))
		})
	}
}

func TestDelayedOrderLeavesOnceLeaseIsRenewed(t *testing.T) {
	d := newHarness()
	d.run(100 * time.Millisecond)
	assert.Assert(t, d.marks["i-1"] != 0)
	d.barriersComplete = false
	d.situation.HeadLeaseStart = d.now - HeadLeaseDuration
	assert.Assert(t, !d.run(5*time.Second))
	d.barriersComplete = true
	assert.Assert(t, d.run(time.Second))
	assert.Assert(t, d.orders[0].ValidUntil <= d.now+HeadLeaseDuration)
}

func TestOrderBodyMatchesProtocol(t *testing.T) {
	d := newHarness()
	assert.Assert(t, d.run(2*time.Second))
	var body map[string]any
	assert.NilError(t, json.Unmarshal(d.orders[0].Body, &body))
	assert.DeepEqual(t, body, map[string]any{
		"op": "version", "model": testModel, "version": 2.0, "mode": "wait", "holder": self,
		"fence": float64(7 << fenceEpochShift),
	})
	assert.Equal(t, d.orders[0].Address, "10.0.0.1:80")
	assert.Equal(t, d.marks["i-1"], uint64(7<<fenceEpochShift))
}

func TestFencesRiseWithEachGrant(t *testing.T) {
	d := newHarness()
	last := uint64(0)
	for version := uint64(2); version < 6; version++ {
		d.situation.Targets = []Target{{Model: testModel, Version: version, KnownAt: d.now}}
		assert.Assert(t, d.run(5*time.Second))
		d.carryOut(d.machine.OrderDone(d.now, d.orders[len(d.orders)-1].Token, 200, nil))
		fence := d.situation.Grant.FencingToken
		assert.Assert(t, fence > last)
		last = fence
		d.run(6 * time.Second)
		assert.Assert(t, d.situation.Grant.Released)
		assert.Equal(t, d.marks["i-1"], uint64(0))
	}
}

// TestGrantIsReleasedAfterItsLastOrderExpires: the next head does not wait after a release.
func TestGrantIsReleasedAfterItsLastOrderExpires(t *testing.T) {
	d := newHarness()
	assert.Assert(t, d.run(2*time.Second))
	ordered := d.now
	d.carryOut(d.machine.OrderDone(d.now, d.orders[0].Token, 200, nil))
	for !d.situation.Grant.Released {
		d.run(testStep)
		assert.Assert(t, d.now < ordered+2*testLease)
	}
	assert.Assert(t, d.now > ordered+testLease, "released after %v", d.now-ordered)
}

func TestNoOrderAfterUnansweredRelease(t *testing.T) {
	d := newHarness()
	assert.Assert(t, d.run(2*time.Second))
	d.carryOut(d.machine.OrderDone(d.now, d.orders[0].Token, 200, nil))
	d.grantsCommit = false
	d.run(5 * time.Second)
	release := d.submitted[len(d.submitted)-1]
	assert.Assert(t, release.Released)
	d.machine.GrantDone(d.now, &nodepb.CommandResult{Code: nodepb.ResultCode_UNAVAILABLE})
	d.situation.Targets = []Target{{Model: testModel, Version: 3, KnownAt: d.now}}
	assert.Assert(t, !d.run(5*time.Second))
	d.grantsCommit = true
	assert.Assert(t, d.run(5*time.Second))
	assert.Assert(t, d.situation.Grant.FencingToken > release.FencingToken)
}

func TestHeadWaitsOnlyIfAnotherWasGrantedBetween(t *testing.T) {
	for _, test := range []struct {
		name  string
		epoch uint64
		grant *nodepb.LeaseChange // committed by then; nil: this node's
		waits bool
	}{
		{"the next epoch", 8, nil, false},
		{"another may have been head between, and was granted nothing", 9, nil, false},
		{"another was granted the broker between", 9, &nodepb.LeaseChange{Holder: other, FencingToken: 8 << fenceEpochShift, Claims: []string{"i-1"}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newHarness()
			assert.Assert(t, d.run(2*time.Second))
			d.carryOut(d.machine.OrderDone(d.now, d.orders[0].Token, 200, nil))
			d.situation.Epoch = test.epoch
			if test.grant != nil {
				d.situation.Grant = test.grant
			}
			d.situation.Targets = []Target{{Model: testModel, Version: 3, KnownAt: d.now}}
			changed := d.now
			d.situation.GrantAsOf = d.now + testStep
			assert.Assert(t, d.run(10*time.Second))
			assert.Equal(t, d.now-changed >= takeoverWait, test.waits, "%v", d.now-changed)
		})
	}
}

// TestGrantLeftOpenByPreviousHolderIsReleased: otherwise a later head would leave its brokers
// alone, however long ago they were ordered.
func TestGrantLeftOpenByPreviousHolderIsReleased(t *testing.T) {
	d := newHarness()
	d.situation.Targets = nil
	left := &nodepb.LeaseChange{Role: RoleName, Holder: other, FencingToken: 6 << fenceEpochShift, Claims: []string{"i-1"}}
	d.situation.Grant = left
	d.run(takeoverWait - testStep)
	assert.Equal(t, d.situation.Grant, left)
	d.run(2 * time.Second)
	assert.Assert(t, d.situation.Grant.Released)
	assert.Assert(t, d.situation.Grant.FencingToken > left.FencingToken)
	d.step()
	assert.Equal(t, d.machine.Deadline(), core.Never)
	assert.Equal(t, len(d.submitted), 1)
	assert.Equal(t, len(d.orders), 0)
}

func TestHolderStopsAfterBrokerSawHigherFence(t *testing.T) {
	d := newHarness()
	assert.Assert(t, d.run(2*time.Second))
	first := d.situation.Grant.FencingToken
	d.carryOut(d.machine.OrderDone(d.now, d.orders[0].Token, 412, nil))
	assert.Equal(t, d.marks["i-1"], uint64(0))
	refused := d.now
	assert.Assert(t, d.run(20*time.Second))
	assert.Assert(t, d.now-refused >= takeoverWait)
	assert.Assert(t, d.situation.Grant.FencingToken > first+1)
}

// TestMarkLeftByPreviousHolderIsCleared: a broker must not stay out of service, loaded or not.
func TestMarkLeftByPreviousHolderIsCleared(t *testing.T) {
	for _, test := range []struct {
		name    string
		late    bool   // the mark shows only later
		version uint64 // what the broker has
		orders  int
	}{
		{"loaded", false, 2, 0},
		{"loaded, mark seen late", true, 2, 0},
		{"not loaded", false, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newHarness()
			instance := d.situation.Instances[0]
			instance.Models[0].Version = test.version
			if test.late {
				d.run(time.Second)
			}
			instance.LoadingFencingToken = 5
			d.marks["i-1"] = 5
			d.report = &Report{Models: []ReportedModel{{Name: testModel, Version: test.version}}}
			d.run(8 * time.Second)
			assert.Equal(t, len(d.orders), test.orders)
			assert.Equal(t, d.marks["i-1"] != 0, test.orders > 0) // marked anew for its order, or not at all
		})
	}
}

func TestNoDeadlineWithoutWork(t *testing.T) {
	d := newHarness()
	d.situation.Targets = nil
	d.step()
	assert.Equal(t, d.machine.Deadline(), core.Never)
	assert.Equal(t, len(d.submitted), 0)
}
