package eventqueue

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEventsRunByTimeThenByAddition adds events while others are taken. They share few distinct times, so that many are equal.
func TestEventsRunByTimeThenByAddition(t *testing.T) {
	type runEvent struct{ runAt, added int }
	random := rand.New(rand.NewPCG(1, 9))
	var queue Queue[int]
	var order []runEvent
	now := 0
	for added := range 2000 {
		runAt := now + random.IntN(4)
		queue.Add(runAt, func() { order = append(order, runEvent{runAt, added}) })
		if random.IntN(3) == 0 {
			var run func()
			now, run = queue.Take()
			run()
		}
	}
	for {
		next, ok := queue.Next()
		if !ok {
			break
		}
		runAt, run := queue.Take()
		assert.Equal(t, runAt, next)
		run()
	}
	assert.Equal(t, len(order), 2000)
	for i := 1; i < len(order); i++ {
		before, after := order[i-1], order[i]
		assert.Assert(t, before.runAt < after.runAt || before.runAt == after.runAt && before.added < after.added,
			"event %+v ran before %+v", before, after)
	}
}
