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
	self        = "node-a"
	other       = "node-b"
	fullWait    = testLease + LeaseLength + testThaw
	testStep    = 50 * time.Millisecond
	headFrom    = 20 * time.Second // when the node of these tests becomes head
	withoutWait = time.Second      // an order that comes within that has not waited
)

// duty runs one machine by itself: marks are confirmed and grants committed at once.
type duty struct {
	now       core.Time
	machine   *Rollout
	situation Situation
	leases    bool // barriers complete
	commits   bool // submitted changes are committed
	orders    []core.SendOrder
	submitted []*nodepb.DutyChange
	marks     map[string]uint64
	report    *Report // what brokers answer; nil: nothing
}

func newDuty() *duty {
	return &duty{
		now:     headFrom,
		machine: New(Options{Lease: testLease, Thaw: testThaw, Version: testVersion}),
		leases:  true,
		commits: true,
		marks:   map[string]uint64{},
		situation: Situation{
			Head: true, Epoch: 7, Holder: self, GrantAsOf: headFrom,
			Targets: []Target{{Model: testModel, Version: 2, Known: headFrom}},
			Instances: []*nodepb.Instance{{
				Id: "i-1", Service: testService, Address: "10.0.0.1:80",
				Models: []*nodepb.ModelOnInstance{{Name: testModel, Version: 1}},
			}},
		},
	}
}

// step takes one step and does what it asks for.
func (d *duty) step() {
	if d.leases {
		d.situation.LeaseFrom = d.now - 10*time.Millisecond
	}
	d.carryOut(d.machine.Step(d.now, &d.situation))
}

func (d *duty) carryOut(outputs []core.Output) {
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
			change := output.Command.GetDuty()
			d.submitted = append(d.submitted, change)
			if d.commits {
				d.situation.Grant = change
				d.machine.GrantDone(d.now, &nodepb.CommandResult{Code: nodepb.ResultCode_TAKEN})
			}
		}
	}
}

// run takes steps for a time, or until there is an order more.
func (d *duty) run(length time.Duration) (ordered bool) {
	before := len(d.orders)
	for end := d.now + length; d.now < end && len(d.orders) == before; d.now += testStep {
		d.step()
	}
	return len(d.orders) > before
}

// TestWhenTheFirstOrderMayLeave lists what stands in the control state when a node becomes head. Source: RULES.md, ONE.
func TestWhenTheFirstOrderMayLeave(t *testing.T) {
	open := func(holder string) *nodepb.DutyChange {
		return &nodepb.DutyChange{Duty: DutyName, Holder: holder, Fence: 6 << fenceEpochShift, Targets: []string{"i-0", "i-1"}}
	}
	elsewhere := open(other)
	elsewhere.Targets = []string{"i-0", "i-2"}
	inherited := open(self)
	inherited.Former = []string{"i-1"}
	released := open(other)
	released.Released = true
	for _, test := range []struct {
		name  string
		grant *nodepb.DutyChange
		asOf  core.Time
		waits bool
	}{
		{"nothing", nil, headFrom, false},
		{"released", released, headFrom, false},
		{"another's open grant", open(other), headFrom, true},
		{"an open grant of a former life of this machine", open(self), headFrom, false},
		{"the same, which names the broker as another's", inherited, headFrom, true},
		{"the same, as of before this headship", open(self), headFrom - time.Millisecond, true},
		{"another's open grant that does not name the broker", elsewhere, headFrom, false},
		{"the same, as of before this headship", elsewhere, headFrom - time.Millisecond, true},
		{"nothing, as of before this headship", nil, headFrom - time.Millisecond, true},
		{"released, as of before this headship", released, headFrom - time.Millisecond, true},
		{"nothing, as of no known time", nil, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDuty()
			d.situation.Grant, d.situation.GrantAsOf = test.grant, test.asOf
			assert.Assert(t, d.run(10*time.Second))
			waited := d.now - headFrom
			if test.waits {
				assert.Assert(t, waited >= fullWait, "%v", waited)
				assert.Assert(t, waited < fullWait+withoutWait, "%v", waited)
			} else {
				assert.Assert(t, waited < withoutWait, "%v", waited)
			}
		})
	}
}

func TestNoOrderWithoutLeaseGrantOrHeadship(t *testing.T) {
	for _, test := range []struct {
		name  string
		spoil func(*duty)
	}{
		{"no barrier has completed", func(d *duty) { d.leases = false }},
		{"the last barrier is too old", func(d *duty) { d.leases = false; d.situation.LeaseFrom = headFrom - LeaseLength }},
		{"the grant is not committed", func(d *duty) { d.commits = false }},
		{"not the head", func(d *duty) { d.situation.Head = false }},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDuty()
			test.spoil(d)
			assert.Assert(t, !d.run(15*time.Second))
		})
	}
}

func TestAnOrderThatWaitsForTheLeaseLeavesOnceThereIsOne(t *testing.T) {
	d := newDuty()
	d.run(100 * time.Millisecond)
	assert.Assert(t, d.marks["i-1"] != 0)
	d.leases = false
	d.situation.LeaseFrom = d.now - LeaseLength
	assert.Assert(t, !d.run(5*time.Second))
	d.leases = true
	assert.Assert(t, d.run(time.Second))
	assert.Assert(t, d.orders[0].ValidUntil <= d.now+LeaseLength)
}

func TestOrdersSayWhatThePageAsksFor(t *testing.T) {
	d := newDuty()
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
	d := newDuty()
	last := uint64(0)
	for version := uint64(2); version < 6; version++ {
		d.situation.Targets = []Target{{Model: testModel, Version: version, Known: d.now}}
		assert.Assert(t, d.run(5*time.Second))
		d.carryOut(d.machine.OrderDone(d.now, d.orders[len(d.orders)-1].Token, 200, nil))
		fence := d.situation.Grant.Fence
		assert.Assert(t, fence > last)
		last = fence
		d.run(6 * time.Second)
		assert.Assert(t, d.situation.Grant.Released)
		assert.Equal(t, d.marks["i-1"], uint64(0))
	}
}

// TestTheGrantIsReleasedOnlyOnceItsLastOrderIsOld: whoever becomes head next need not wait after a release.
func TestTheGrantIsReleasedOnlyOnceItsLastOrderIsOld(t *testing.T) {
	d := newDuty()
	assert.Assert(t, d.run(2*time.Second))
	ordered := d.now
	d.carryOut(d.machine.OrderDone(d.now, d.orders[0].Token, 200, nil))
	for !d.situation.Grant.Released {
		d.run(testStep)
		assert.Assert(t, d.now < ordered+2*testLease)
	}
	assert.Assert(t, d.now > ordered+testLease, "released after %v", d.now-ordered)
}

func TestNothingIsOrderedAfterAReleaseThatGotNoAnswer(t *testing.T) {
	d := newDuty()
	assert.Assert(t, d.run(2*time.Second))
	d.carryOut(d.machine.OrderDone(d.now, d.orders[0].Token, 200, nil))
	d.commits = false
	d.run(5 * time.Second)
	release := d.submitted[len(d.submitted)-1]
	assert.Assert(t, release.Released)
	d.machine.GrantDone(d.now, &nodepb.CommandResult{Code: nodepb.ResultCode_UNAVAILABLE})
	d.situation.Targets = []Target{{Model: testModel, Version: 3, Known: d.now}}
	assert.Assert(t, !d.run(5*time.Second))
	d.commits = true
	assert.Assert(t, d.run(5*time.Second))
	assert.Assert(t, d.situation.Grant.Fence > release.Fence)
}

func TestHeadshipThatGoesOnNeedsNoWaitButOneWithAGapDoes(t *testing.T) {
	for _, test := range []struct {
		name  string
		epoch uint64
		grant *nodepb.DutyChange // that stands by then; nil: this node's
		waits bool
	}{
		{"the next epoch", 8, nil, false},
		{"another may have been head between, and was granted nothing", 9, nil, false},
		{"another was granted the broker between", 9, &nodepb.DutyChange{Holder: other, Fence: 8 << fenceEpochShift, Targets: []string{"i-1"}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDuty()
			assert.Assert(t, d.run(2*time.Second))
			d.carryOut(d.machine.OrderDone(d.now, d.orders[0].Token, 200, nil))
			d.situation.Epoch = test.epoch
			if test.grant != nil {
				d.situation.Grant = test.grant
			}
			d.situation.Targets = []Target{{Model: testModel, Version: 3, Known: d.now}}
			changed := d.now
			d.situation.GrantAsOf = d.now + testStep
			assert.Assert(t, d.run(10*time.Second))
			assert.Equal(t, d.now-changed >= fullWait, test.waits, "%v", d.now-changed)
		})
	}
}

// TestAGrantThatAFormerHolderLeftOpenIsClosed: else a later head would leave its brokers alone, however long ago they were ordered.
func TestAGrantThatAFormerHolderLeftOpenIsClosed(t *testing.T) {
	d := newDuty()
	d.situation.Targets = nil
	former := &nodepb.DutyChange{Duty: DutyName, Holder: other, Fence: 6 << fenceEpochShift, Targets: []string{"i-1"}}
	d.situation.Grant = former
	d.run(fullWait - testStep)
	assert.Equal(t, d.situation.Grant, former)
	d.run(2 * time.Second)
	assert.Assert(t, d.situation.Grant.Released)
	assert.Assert(t, d.situation.Grant.Fence > former.Fence)
	d.step()
	assert.Equal(t, d.machine.Deadline(), core.Never)
	assert.Equal(t, len(d.submitted), 1)
	assert.Equal(t, len(d.orders), 0)
}

func TestAHigherFenceSeenByABrokerStopsTheHolder(t *testing.T) {
	d := newDuty()
	assert.Assert(t, d.run(2*time.Second))
	first := d.situation.Grant.Fence
	d.carryOut(d.machine.OrderDone(d.now, d.orders[0].Token, 412, nil))
	assert.Equal(t, d.marks["i-1"], uint64(0))
	refused := d.now
	assert.Assert(t, d.run(20*time.Second))
	assert.Assert(t, d.now-refused >= fullWait)
	assert.Assert(t, d.situation.Grant.Fence > first+1)
}

// TestAMarkThatAFormerHolderLeftIsTakenAway: whatever happened to the broker, it must not stay out of service.
func TestAMarkThatAFormerHolderLeftIsTakenAway(t *testing.T) {
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
			d := newDuty()
			instance := d.situation.Instances[0]
			instance.Models[0].Version = test.version
			if test.late {
				d.run(time.Second)
			}
			instance.LoadingFence = 5
			d.marks["i-1"] = 5
			d.report = &Report{Models: []ReportedModel{{Name: testModel, Version: test.version}}}
			d.run(8 * time.Second)
			assert.Equal(t, len(d.orders), test.orders)
			assert.Equal(t, d.marks["i-1"] != 0, test.orders > 0) // marked anew for its order, or not at all
		})
	}
}

func TestNothingIsDueWhereNothingIsToBeDone(t *testing.T) {
	d := newDuty()
	d.situation.Targets = nil
	d.step()
	assert.Equal(t, d.machine.Deadline(), core.Never)
	assert.Equal(t, len(d.submitted), 0)
}
