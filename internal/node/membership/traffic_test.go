package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// rates are the mean rates of a node, per second.
type rates struct {
	messages float64
	bytes    float64
	wakeUps  float64
}

// measure returns the rates of the running processes over a span.
func (w *world) measure(span time.Duration) rates {
	for _, node := range w.alive() {
		node.messages, node.bytes, node.wakeUps = 0, 0, 0
	}
	w.run(span)
	var sum rates
	for _, node := range w.alive() {
		sum.messages += float64(node.messages)
		sum.bytes += float64(node.bytes)
		sum.wakeUps += float64(node.wakeUps)
	}
	scale := float64(len(w.alive())) * span.Seconds()
	return rates{messages: sum.messages / scale, bytes: sum.bytes / scale, wakeUps: sum.wakeUps / scale}
}

// TestTrafficPerNodeIsConstant: messages and wake-ups of a node don't depend on the number of
// nodes.
func TestTrafficPerNodeIsConstant(t *testing.T) {
	for _, n := range []int{10, 100, 400} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			calmSpan, lossySpan := time.Minute, 30*time.Second
			if testing.Short() {
				calmSpan, lossySpan = 20*time.Second, 10*time.Second
			}
			w := newWorld(t, 1)
			w.startAll(n)
			w.expect(3*time.Second, "start", w.converged())
			w.run(time.Minute)
			calm := w.measure(calmSpan)
			t.Logf("calm: %+v", calm)
			assert.Assert(t, calm.messages > 1.9 && calm.messages < 2.3, "%+v", calm)
			assert.Assert(t, calm.bytes < 1500, "%+v", calm)
			assert.Assert(t, calm.wakeUps < 1.3, "%+v", calm)

			w.loss = 0.05
			lossy := w.measure(lossySpan)
			t.Logf("5%% lost: %+v", lossy)
			assert.Assert(t, lossy.messages < 4.5, "%+v", lossy)
			assert.Assert(t, agree(w.alive()))
		})
	}
}

func TestTrafficOfJoinIsBounded(t *testing.T) {
	w := newWorld(t, 1)
	w.startConverged(90)
	w.run(time.Minute)
	w.start(90)
	joined := w.measure(30 * time.Second)
	t.Logf("a join: %+v", joined)
	assert.Assert(t, joined.messages < 2.6, "%+v", joined)
}

// TestRestartedNodesAreForgotten: what a node keeps doesn't grow with the number of restarts.
func TestRestartedNodesAreForgotten(t *testing.T) {
	w := newWorld(t, 1)
	w.startConverged(10)
	for range 100 {
		w.node(9).kill()
		w.start(9)
		w.run(2 * time.Second)
	}
	w.run(2 * time.Minute)
	assert.Assert(t, agree(w.alive()))
	for _, node := range w.alive() {
		assert.Equal(t, node.list.Remembered(), 9)
	}
}

// TestMessagesAreNotModified: messages share members with the list, so neither sender nor receiver
// may modify them.
func TestMessagesAreNotModified(t *testing.T) {
	w := newWorld(t, 1)
	w.copies = map[*nodepb.Envelope]*nodepb.Envelope{}
	w.startConverged(10)
	w.loss = 0.2
	w.run(30 * time.Second)
	w.node(3).kill()
	w.run(10 * time.Second)
	w.start(3)
	w.run(10 * time.Second)
	for message, sent := range w.copies {
		assert.Assert(t, sameText(message, sent))
	}
}
