package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNodesConvergeAtStart(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 90} {
		for seed := range seeds(4) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", n, seed), func(t *testing.T) {
				w := newWorld(t, seed)
				w.startAll(n)
				w.expect(1500*time.Millisecond, "all know all", w.converged())
				w.run(time.Minute)
				assert.Assert(t, agree(w.alive()))
			})
		}
	}
}

func TestNodesConvergeOnceLateSeedsListen(t *testing.T) {
	const n = 30
	for _, late := range [][]int{{0}, {0, 1, 2}} {
		for _, delay := range []time.Duration{time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("seeds %v after %v", late, delay), func(t *testing.T) {
				w := newWorld(t, 5)
				w.seeds = []string{addressOf(0), addressOf(1), addressOf(2)}
				for i := len(late); i < n; i++ {
					w.start(i)
				}
				w.run(delay)
				for _, i := range late {
					w.start(i)
				}
				w.expect(3*time.Second, "all know all", w.converged())
			})
		}
	}
}

func TestNodesConvergeWithoutOneSeed(t *testing.T) {
	w := newWorld(t, 6)
	w.seeds = []string{addressOf(0), addressOf(1), addressOf(2)}
	for i := 1; i < 10; i++ {
		w.start(i)
	}
	w.expect(2*time.Second, "all know all", w.converged())
	w.run(10 * time.Second)
	assert.Assert(t, agree(w.alive()))
}

func TestJoinReachesAllMembers(t *testing.T) {
	for seed := range seeds(6) {
		w := newWorld(t, seed)
		w.startConverged(90)
		w.start(90)
		w.expect(1500*time.Millisecond, "the new member", w.converged())
	}
}

func TestLeaveReachesAllMembers(t *testing.T) {
	for seed := range seeds(6) {
		w := newWorld(t, seed)
		w.startConverged(90)
		leaver := w.node(17)
		leaver.leave()
		leaver.kill()
		w.expect(time.Second, "the farewell", w.converged())
		w.run(2 * time.Minute)
		assert.Assert(t, agree(w.alive()))
	}
}

func TestLeftNodeThatRunsOnIsNotRelisted(t *testing.T) {
	w := newWorld(t, 3)
	w.startConverged(10)
	leaver := w.node(4)
	leaver.leave()
	w.run(time.Second)
	messages, wakeUps := leaver.messages, leaver.wakeUps
	others := make([]*virtualNode, 0, 9)
	for _, node := range w.alive() {
		if node != leaver {
			others = append(others, node)
		}
	}
	w.run(time.Minute)
	assert.Assert(t, agree(others))
	assert.Equal(t, leaver.messages, messages)
	assert.Equal(t, leaver.wakeUps, wakeUps)
}

func TestRestartReplacesPreviousProcess(t *testing.T) {
	for seed := range seeds(6) {
		w := newWorld(t, seed)
		w.startConverged(30)
		// Number 1 is a seed, number 20 is not.
		for _, i := range []int{1, 20} {
			previous := w.node(i)
			previous.kill()
			w.run(500 * time.Millisecond)
			w.start(i)
			w.expect(1500*time.Millisecond, "the new process", w.converged())
			w.run(20 * time.Second)
			assert.Assert(t, agree(w.alive()))
		}
	}
}

func TestRestartReplacesProcessOfHigherIncarnation(t *testing.T) {
	for seed := range seeds(6) {
		w := newWorld(t, seed)
		w.startAll(20)
		w.startWith(20, 40)
		w.startWith(1, 40)
		w.run(5 * time.Second)
		for _, i := range []int{20, 1} {
			w.node(i).kill()
			w.run(300 * time.Millisecond)
			w.start(i)
			w.expect(1500*time.Millisecond, "the new process", w.converged())
		}
	}
}

// TestReplacedProcessIsNotRelisted: a node that was frozen for long still lists the previous
// process when it resumes.
func TestReplacedProcessIsNotRelisted(t *testing.T) {
	for _, stop := range []time.Duration{10 * time.Second, 70 * time.Second} {
		w := newWorld(t, 9)
		w.startConverged(20)
		stopped := w.node(7)
		stopped.freeze()
		w.run(time.Second)
		w.node(12).kill()
		w.run(time.Second)
		w.start(12)
		w.run(stop)
		stopped.thaw()
		w.expect(4*time.Second, "all know all", w.converged())
		w.run(time.Minute)
		assert.Assert(t, agree(w.alive()))
	}
}

func TestRollingRestart(t *testing.T) {
	w := newWorld(t, 4)
	w.startConverged(24)
	for i := range 24 {
		w.node(i).leave()
		w.run(100 * time.Millisecond)
		w.node(i).kill()
		w.run(400 * time.Millisecond)
		w.start(i)
		w.run(500 * time.Millisecond)
	}
	w.expect(1500*time.Millisecond, "all know all", w.converged())
	w.run(time.Minute)
	assert.Assert(t, agree(w.alive()))
}

func TestRestartOfAllNodesAtOnce(t *testing.T) {
	w := newWorld(t, 8)
	w.startConverged(30)
	for _, node := range w.alive() {
		node.kill()
	}
	w.run(500 * time.Millisecond)
	w.startAll(30)
	w.expect(1500*time.Millisecond, "all know all", w.converged())
}

func TestSetSeedsReplacesSeeds(t *testing.T) {
	w := newWorld(t, 8)
	w.startConverged(10)
	for i := range 3 {
		w.node(i).kill()
	}
	w.run(30 * time.Second)
	w.seeds = []string{addressOf(10), addressOf(11), addressOf(12)}
	for i := range 3 {
		w.start(10 + i)
	}
	for _, node := range w.alive() {
		node.list.SetSeeds(w.seeds)
		node.arm()
	}
	w.expect(5*time.Second, "all know all", w.converged())
}
