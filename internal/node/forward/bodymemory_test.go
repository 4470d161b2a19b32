package forward

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kestrelspread/internal/node/registry"
)

// countedMemory is an account that records its peak.
type countedMemory struct{ used, peak, limit int64 }

func (m *countedMemory) reserveBuffer(count int64) bool {
	if m.used+count > m.limit {
		return false
	}
	m.used += count
	m.peak = max(m.peak, m.used)
	return true
}

func (m *countedMemory) releaseBuffer(count int64) { m.used -= count }

// TestChunkedBodyIsCountedAsItGrows: no more is allocated than was counted before.
func TestChunkedBodyIsCountedAsItGrows(t *testing.T) {
	const length = 100_000
	body := strings.Repeat("0123456789", length/10)
	for limit := int64(1000); limit < 4*length; limit += 7001 {
		memory := &countedMemory{limit: limit}
		b := new(buffer)
		err := b.readCounted(iotest.OneByteReader(strings.NewReader(body)), -1, length, memory)
		assert.Equal(t, memory.used, int64(cap(b.bytes)))
		if err != nil {
			assert.Assert(t, errors.Is(err, errNoBuffer))
			assert.Assert(t, limit < 3*length, "refused with room for %d bytes", limit)
			continue
		}
		assert.Equal(t, string(b.bytes), body)
	}
	assert.Assert(t, errors.Is(new(buffer).readCounted(strings.NewReader(body), -1, length-1, &countedMemory{limit: 1 << 30}), errTooLarge))
}

// TestBurstOfChunkedBodiesIsBounded guards against processes over their memory limit: bodies in chunks were counted once they had
// been read whole, however many were arriving (docs/incidents/chunked.md).
func TestBurstOfChunkedBodiesIsBounded(t *testing.T) {
	const limit, clients, part = 300_000, 20, 50_000
	only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	var instances []*registry.Instance
	for range clients {
		instances = append(instances, only.instance)
	}
	w := newWorld(t, newScriptedRouter(instances...), func(_ *world, options *Options) { options.Bounds.MaxBufferedBytes = limit })
	var arriving []*client
	for i := range clients {
		c := w.client()
		c.send(requestText("POST", "/unsafe/a", fmt.Sprint("r", i), "", "Transfer-Encoding: chunked"))
		c.send(fmt.Sprintf("%x\r\n%s\r\n", part, strings.Repeat("a", part)))
		arriving = append(arriving, c)
	}
	w.awaitBuffered(func(count int64) bool { return count >= limit/2 }, "bodies that arrive aren't counted")
	statuses := map[int]int{}
	for _, c := range arriving {
		_, _ = c.socket.Write([]byte("0\r\n\r\n")) // fails where the proxy has refused and closed
		statuses[c.read("POST").StatusCode]++
	}
	assert.Assert(t, statuses[200] > 0 && statuses[503] > 0 && statuses[200]+statuses[503] == clients, "%v", statuses)
	w.awaitBuffered(func(count int64) bool { return count == 0 }, "memory of requests that have ended is counted")
}

// TestAnnouncedBodiesKeepNobodyOut: they were counted in full when they were announced, so that a few that never came took all memory for
// bodies (docs/incidents/announced.md).
func TestAnnouncedBodiesKeepNobodyOut(t *testing.T) {
	only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	w := newWorld(t, newScriptedRouter(only.instance), func(_ *world, options *Options) { options.Bounds.MaxBufferedBytes = 400_000 })
	for i := range 5 {
		w.client().send(requestText("POST", "/unsafe/a", fmt.Sprint("a", i), "", "Content-Length: 300000") + "x")
	}
	w.awaitBuffered(func(count int64) bool { return count >= 5*minReadSize }, "bodies that arrive aren't counted")
	body := strings.Repeat("a", 150_000)
	assert.Equal(t, w.do(post("/unsafe/a", "r1", body)).StatusCode, 200)
	assert.Equal(t, only.next().body, body)
}

// awaitBuffered waits until the memory that is counted for bodies fulfils a condition; otherwise says what is wrong.
func (w *world) awaitBuffered(condition func(count int64) bool, otherwise string) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if count := w.proxy.buffered.Load(); !condition(count) {
			return poll.Continue("%s: %d bytes", otherwise, count)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
}

// TestBufferedBodiesAreBounded: beyond the bound requests are refused, not taken into memory.
func TestBufferedBodiesAreBounded(t *testing.T) {
	proceed := make(chan struct{})
	only := newBroker(t, "i-1", func(e *exchange) {
		<-proceed
		e.answer(200, "ok")
	})
	w := newWorld(t, newScriptedRouter(only.instance, only.instance, only.instance), func(_ *world, options *Options) {
		options.Bounds.MaxBufferedBytes = 1000
	})
	c := w.client()
	c.send(post("/unsafe/a", "r1", strings.Repeat("a", 600)))
	only.next()
	got := w.do(post("/unsafe/a", "r2", strings.Repeat("a", 600)))
	assert.Equal(t, got.StatusCode, 503)
	assert.Assert(t, got.Header.Get(headerRetryAfter) != "")
	close(proceed)
	assert.Equal(t, c.read("POST").StatusCode, 200)
	w.port.awaitEnds(t, 1)
	assert.Equal(t, w.do(post("/unsafe/a", "r3", strings.Repeat("a", 600))).StatusCode, 200)
	w.port.awaitEnds(t, 1)
	assert.Equal(t, w.proxy.buffered.Load(), int64(0))
}
