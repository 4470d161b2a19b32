package forward

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDeadlineEndsAttemptInProgress: what was sent may run on, so that its client gets no promise.
func TestDeadlineEndsAttemptInProgress(t *testing.T) {
	for _, path := range []string{"/unsafe/a", "/safe/a", "/stream/a", "/resumable/a"} {
		for !deadlineEndsSentRequest(t, path) {
		}
	}
}

// deadlineEndsSentRequest lets the deadline of a request pass at a broker that doesn't answer. It reports false where the deadline had
// passed before the request was sent, as it may on a busy machine: it has not run then, and its client is told so.
func deadlineEndsSentRequest(t *testing.T, path string) bool {
	t.Helper()
	only, closed := silent(t, "i-1")
	second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "ok") })
	w := newWorld(t, newScriptedRouter(only.instance, second.instance), func(_ *world, options *Options) {
		options.Bounds.AnswerGrace = time.Millisecond
	})
	got := w.do(post(path, "r1", "body", "X-Kestrelspread-Deadline-Ms: 30"))
	assert.Equal(t, second.arrived(), 0)
	if got.StatusCode == 503 {
		assert.Equal(t, only.arrived(), 0, "a request that was sent may have run")
		return false
	}
	assert.Equal(t, got.StatusCode, 504)
	assert.Equal(t, got.Header.Get(headerRetryAfter), "")
	<-closed
	w.port.awaitEnds(t, 1)
	assert.Assert(t, w.port.outcome(t, 0).TimedOut)
	return true
}

// TestDeadlineEndsStream ends it, never as complete.
func TestDeadlineEndsStream(t *testing.T) {
	for _, path := range []string{"/stream/a", "/resumable/a"} {
		only := newBroker(t, "i-1", func(e *exchange) {
			e.streamHead()
			e.event(1)
			e.awaitClose()
			e.close()
		})
		w := newWorld(t, newScriptedRouter(only.instance), func(_ *world, options *Options) {
			options.Bounds.AnswerGrace = time.Millisecond
		})
		got := w.do(post(path, "r1", "body", "X-Kestrelspread-Deadline-Ms: 30"))
		assert.Equal(t, got.StatusCode, 200)
		assert.Equal(t, got.body, events(1, 1))
		assert.Assert(t, got.bodyErr != nil)
	}
}

// TestExpiredRequestIsRejected before anything was sent: the request has not run.
func TestExpiredRequestIsRejected(t *testing.T) {
	only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	w := newWorld(t, newScriptedRouter(only.instance))
	got := w.do(post("/unsafe/a", "r1", "body", "X-Kestrelspread-Deadline-Ms: 0"))
	assert.Equal(t, got.StatusCode, 503)
	assert.Equal(t, only.arrived(), 0)
}

// TestUnresponsiveClientIsClosed cannot hold its request beyond the deadline.
func TestUnresponsiveClientIsClosed(t *testing.T) {
	stuck := make(chan struct{})
	only := newBroker(t, "i-1", func(e *exchange) {
		e.streamHead()
		event := "id: 1\ndata: " + strings.Repeat("a", 60000) + "\n\n"
		for range 1000 {
			e.chunk(event)
		}
		e.close()
		close(stuck)
	})
	w := newWorld(t, newScriptedRouter(only.instance), func(_ *world, options *Options) {
		options.Bounds.AnswerGrace = time.Millisecond
	})
	c := w.client()
	c.send(post("/stream/a", "r1", "body", "X-Kestrelspread-Deadline-Ms: 400"))
	w.port.awaitEnds(t, 1)
	<-stuck
	assert.Equal(t, w.proxy.Metrics().Aborted, uint64(1))
}
