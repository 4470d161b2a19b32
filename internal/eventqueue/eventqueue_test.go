package eventqueue

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEventsComeByTimeThenByAddition adds events at few times while others are taken.
func TestEventsComeByTimeThenByAddition(t *testing.T) {
	type taken struct{ runAt, added int }
	random := rand.New(rand.NewPCG(1, 9))
	var queue Queue[int]
	var order []taken
	now := 0
	for added := range 2000 {
		runAt := now + random.IntN(4)
		queue.Add(runAt, func() { order = append(order, taken{runAt, added}) })
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
		assert.Assert(t, before.runAt < after.runAt || before.runAt == after.runAt && before.added < after.added, "%v before %v", before, after)
	}
}
