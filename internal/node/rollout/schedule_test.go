package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// startedBrokers lists the brokers that the first steps of a rollout take out of service.
func startedBrokers(d *harness) (ids []string) {
	d.run(200 * time.Millisecond)
	for id, fence := range d.marks {
		if fence != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

func (d *harness) setBrokers(count int, change func(int, *nodepb.Instance)) {
	d.situation.Instances = nil
	for i := range count {
		instance := &nodepb.Instance{
			Id: fmt.Sprintf("i-%02d", i), Service: testService, Address: "10.0.0.1:80", Zone: fmt.Sprintf("zone-%d", i%3),
			Models: []*nodepb.ModelOnInstance{{Name: testModel, Version: 1}},
		}
		change(i, instance)
		d.situation.Instances = append(d.situation.Instances, instance)
	}
}

func TestBrokersOutOfServiceAreSpreadOverZones(t *testing.T) {
	d := newHarness()
	d.setBrokers(18, func(int, *nodepb.Instance) {})
	zones := map[string]int{}
	ids := startedBrokers(d)
	assert.Assert(t, len(ids) >= 3 && len(ids) <= 9, "%v", ids)
	for _, id := range ids {
		var number int
		_, err := fmt.Sscanf(id, "i-%d", &number)
		assert.NilError(t, err)
		zones[fmt.Sprint(number%3)]++
	}
	assert.Equal(t, len(zones), 3)
}

// TestOnlyReadyOutdatedBrokersAreStarted lists brokers that need nothing, or come after others.
func TestOnlyReadyOutdatedBrokersAreStarted(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*nodepb.Instance)
		first  bool // among the first to be taken out of service
	}{
		{"ready with an older version", func(*nodepb.Instance) {}, true},
		{"draining", func(i *nodepb.Instance) { i.State = nodepb.InstanceState_DRAINING }, false},
		{"gone", func(i *nodepb.Instance) { i.State = nodepb.InstanceState_GONE }, false},
		{"with the newest version", func(i *nodepb.Instance) { i.Models[0].Version = 2 }, false},
		{"with a newer version", func(i *nodepb.Instance) { i.Models[0].Version = 3 }, false},
		{"without models", func(i *nodepb.Instance) { i.Models = nil }, false},
		{"with another model", func(i *nodepb.Instance) { i.Models[0].Name = "other" }, false},
		{"unresponsive", func(i *nodepb.Instance) { i.SinceHeartbeatMs = 4000 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newHarness()
			d.setBrokers(4, func(i int, instance *nodepb.Instance) {
				if i == 0 {
					test.change(instance)
				}
			})
			d.machine.options.BaseConcurrency = 4
			if test.name == "unresponsive" {
				d.machine.options.BaseConcurrency = 3
			}
			startedBrokers(d)
			assert.Equal(t, d.marks["i-00"] != 0, test.first)
			assert.Assert(t, d.marks["i-01"] != 0)
		})
	}
}

// TestConcurrencyLimit lists how many brokers of a service may be out of service at once.
func TestConcurrencyLimit(t *testing.T) {
	second := time.Second
	for _, test := range []struct {
		name             string
		brokers, lacking int
		age              time.Duration // since the version became known
		duration         time.Duration // for which one broker is out of service
		limit            int
	}{
		{"one broker", 1, 1, 0, second, 1},
		{"two", 2, 2, 0, second, 1},
		{"three", 3, 3, 0, second, 2},
		{"a sixth", 18, 3, 0, second, 3},
		{"as many as the time left requires", 18, 18, 0, 2 * second, 6},
		{"late: at most half", 18, 18, 9 * second, 2 * second, 9},
		{"late with few left", 18, 2, 9 * second, 2 * second, 4},
		{"large", 140, 140, 0, second, 24},
	} {
		t.Run(test.name, func(t *testing.T) {
			estimator := durationEstimator{mean: test.duration, fastest: test.duration}
			knownAt := core.Time(100 * second)
			load := serviceLoad{brokers: test.brokers, lacking: test.lacking, knownAt: knownAt, bound: 10 * second}
			assert.Equal(t, estimator.concurrencyLimit(knownAt+test.age, load), test.limit)
		})
	}
}

// TestSlowLoadsDoNotRaiseConcurrency: brokers load more slowly when many do so at once.
func TestSlowLoadsDoNotRaiseConcurrency(t *testing.T) {
	var estimator durationEstimator
	estimator.observe(time.Second)
	for range 50 {
		estimator.observe(10 * time.Second)
	}
	assert.Equal(t, estimator.estimate(), 1500*time.Millisecond)
}

func TestRejectedOrderIsRetriedAfterBackoff(t *testing.T) {
	for _, status := range []int{400, 421, 429, 503} {
		d := newHarness()
		assert.Assert(t, d.run(2*time.Second))
		d.carryOut(d.machine.OrderDone(d.now, d.orders[0].Token, status, nil))
		assert.Equal(t, d.marks["i-1"], uint64(0))
		refused := d.now
		assert.Assert(t, d.run(5*time.Second))
		assert.Assert(t, d.now-refused >= minRetryBackoff)
	}
}
