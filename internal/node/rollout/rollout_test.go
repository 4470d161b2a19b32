package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func never() bool { return false }

func TestNewVersionReachesEachBrokerOnce(t *testing.T) {
	for _, brokers := range []int{1, 2, 3, 9, 18, 90, 140} {
		w := newWorld(t, uint64(brokers), 3, brokers)
		w.run(6*time.Second, never)
		w.name(2)
		named := w.now
		w.run(30*time.Second, w.everywhere)
		assert.Assert(t, w.everywhere(), "%d brokers", brokers)
		took := w.now - named
		assert.Assert(t, took <= testVersion, "%d brokers took %v", brokers, took)
		for _, b := range w.brokers {
			assert.Equal(t, b.loads[2], 1)
			assert.Equal(t, len(b.orders), 1)
		}
		w.run(5*time.Second, never)
		assert.Assert(t, w.grant.Released)
		t.Logf("%d brokers: %v, %v", brokers, took, w.nodes[0].machine.paces[testService])
	}
}
