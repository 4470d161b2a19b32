package forward

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrainClosesConnectionsWithNextAnswer: each answer asks for the connection to be closed; those at rest stay until Shutdown.
func TestDrainClosesConnectionsWithNextAnswer(t *testing.T) {
	only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	w := newWorld(t, newScriptedRouter(only.instance, only.instance, only.instance, only.instance))
	resting, other := w.client(), w.client()
	for _, c := range []*client{resting, other} {
		c.send(get("/safe/a", "r1"))
		assert.Equal(t, c.read("GET").Close, false)
	}
	w.proxy.Drain()
	resting.send(post("/unsafe/a", "r2", "body"))
	got := resting.read("POST")
	assert.Equal(t, got.StatusCode, 200)
	assert.Assert(t, got.Close)
	resting.closed()
	got = w.do(get("/none/a", "r3"))
	assert.Equal(t, got.StatusCode, 404)
	assert.Assert(t, got.Close)
	assert.NilError(t, w.proxy.Shutdown(t.Context()))
	other.closed()
	_, err := net.Dial("tcp4", w.address)
	assert.Assert(t, err != nil)
}

// TestShutdownWaitsForRequests under way (RULES.md, LOST).
func TestShutdownWaitsForRequests(t *testing.T) {
	proceed := make(chan struct{})
	only := newBroker(t, "i-1", func(e *exchange) {
		<-proceed
		e.answer(200, "ok")
	})
	w := newWorld(t, newScriptedRouter(only.instance))
	c := w.client()
	c.send(post("/unsafe/a", "r1", "body"))
	only.next()
	down := make(chan error, 1)
	go func() { down <- w.proxy.Shutdown(context.Background()) }()
	close(proceed)
	got := c.read("POST")
	assert.Equal(t, got.StatusCode, 200)
	assert.NilError(t, <-down)
}

// TestShutdownAbortsRequestsAtItsDeadline although a request is under way.
func TestShutdownAbortsRequestsAtItsDeadline(t *testing.T) {
	only, closed := silent(t, "i-1")
	w := newWorld(t, newScriptedRouter(only.instance))
	c := w.client()
	c.send(post("/stream/a", "r1", "body"))
	only.next()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.Assert(t, w.proxy.Shutdown(ctx) != nil)
	<-closed
}

// TestNewRequestsAreRejectedLateInShutdown: they would not be over in time. Those under way end as usual (RULES.md, LOST).
func TestNewRequestsAreRejectedLateInShutdown(t *testing.T) {
	proceed := make(chan struct{})
	only := newBroker(t, "i-1", func(e *exchange) {
		<-proceed
		e.answer(200, "ok")
	})
	w := newWorld(t, newScriptedRouter(only.instance, only.instance))
	c := w.client()
	c.send(post("/unsafe/a", "r1", "body"))
	only.next()
	w.proxy.RejectNew()
	got := w.do(post("/stream/a", "r2", "body"))
	assert.Equal(t, got.StatusCode, 503)
	assert.Assert(t, got.Header.Get(headerRetryAfter) != "")
	assert.Assert(t, got.Close, "the client goes on elsewhere")
	assert.Equal(t, only.arrived(), 0, "only the first came there")
	close(proceed)
	assert.Equal(t, c.read("POST").StatusCode, 200)
}
