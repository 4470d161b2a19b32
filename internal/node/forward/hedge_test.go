package forward

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// copying is a port whose first attempts may be copied at once.
func copying(brokers ...*broker) *scriptedRouter {
	port := newScriptedRouter()
	for _, b := range brokers {
		port.instances = append(port.instances, b.instance)
	}
	port.allowHedges = true
	port.attempt = func(attempt *routing.Attempt) {
		if attempt.Number == 0 {
			attempt.HedgeAt = 0
		}
	}
	return port
}

// silent is a broker that says nothing until the other side closes, which it then tells.
func silent(t *testing.T, id string) (*broker, chan struct{}) {
	closed := make(chan struct{})
	return newBroker(t, id, func(e *exchange) {
		e.awaitClose()
		e.close()
		close(closed)
	}), closed
}

// TestHedgeWins over an attempt that is late; the loser is called off.
func TestHedgeWins(t *testing.T) {
	for _, test := range []struct {
		path   string
		answer func(*exchange)
		want   string
	}{
		{"/safe/a", func(e *exchange) { e.answer(200, "copy") }, "copy"},
		{"/resumable/a", streamOf(1, 3), events(1, 3)},
	} {
		late, closed := silent(t, "i-1")
		quick := newBroker(t, "i-2", test.answer)
		w := newWorld(t, copying(late, quick))
		got := w.do(get(test.path, "r1"))
		assert.NilError(t, got.bodyErr)
		assert.Equal(t, got.body, test.want)
		<-closed
		w.port.awaitEnds(t, 1)
		assert.Equal(t, len(w.port.outcomes), 2)
		canceled := 0
		for _, told := range w.port.outcomes {
			if told.outcome.Canceled {
				canceled++
				assert.Equal(t, told.attempt, 0)
				assert.Equal(t, told.outcome.Verdict, verdict.MayHaveRun)
			} else {
				assert.Assert(t, told.outcome.Answered)
			}
		}
		assert.Equal(t, canceled, 1)
		metrics := w.proxy.Metrics()
		assert.Equal(t, metrics.Hedges, uint64(1))
		assert.Equal(t, metrics.HedgesWon, uint64(1))
	}
}

// TestHeadOfStreamDoesNotPreventHedge of a stream: its first event is, so that a copy may still go out.
func TestHeadOfStreamDoesNotPreventHedge(t *testing.T) {
	closed := make(chan struct{})
	late := newBroker(t, "i-1", func(e *exchange) {
		e.streamHead()
		e.awaitClose()
		e.close()
		close(closed)
	})
	quick := newBroker(t, "i-2", streamOf(1, 3))
	port := copying(late, quick)
	port.attempt = func(attempt *routing.Attempt) {
		if attempt.Number == 0 {
			attempt.HedgeAt = time.Hour // the clock below stands: this is some moments ahead of it
		}
	}
	w := newWorld(t, port, func(_ *world, options *Options) {
		options.Clock = func() core.Time { return time.Hour - 20*time.Millisecond }
	})
	got := w.do(post("/resumable/a", "r1", "prompt"))
	assert.Equal(t, got.body, events(1, 3))
	<-closed
}

// TestFirstAttemptWins although a copy is out.
func TestFirstAttemptWins(t *testing.T) {
	copied := make(chan struct{})
	first := newBroker(t, "i-1", func(e *exchange) {
		<-copied
		e.answer(200, "first")
	})
	closed := make(chan struct{})
	second := newBroker(t, "i-2", func(e *exchange) {
		close(copied)
		e.awaitClose()
		e.close()
		close(closed)
	})
	w := newWorld(t, copying(first, second))
	assert.Equal(t, w.do(get("/safe/a", "r1")).body, "first")
	<-closed
	assert.Equal(t, w.proxy.Metrics().HedgesWon, uint64(0))
}

// TestFailureDoesNotWin while the other attempt may still succeed.
func TestFailureDoesNotWin(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(*exchange)
	}{
		{"reset", func(e *exchange) { e.reset() }},
		{"turned away", func(e *exchange) { e.reject(503) }},
		{"failure of its own", func(e *exchange) { e.answer(500, "broken") }},
		{"large failure of its own", func(e *exchange) { e.answer(500, strings.Repeat("broken", 100000)) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			proceed := make(chan struct{})
			first := newBroker(t, "i-1", func(e *exchange) {
				<-proceed
				e.answer(200, "first")
			})
			second := newBroker(t, "i-2", test.fail)
			port := copying(first, second)
			port.retries = func(routing.Outcome, bool) bool {
				close(proceed)
				return false
			}
			w := newWorld(t, port)
			assert.Equal(t, w.do(get("/safe/a", "r1")).body, "first")
		})
	}
}

// TestRaceOfTwoFailures: a third attempt may follow; without one the client gets what a broker answered, or no promise.
func TestRaceOfTwoFailures(t *testing.T) {
	resetAfter := func(bothOut chan struct{}) func(*exchange) {
		return func(e *exchange) {
			<-bothOut
			e.reset()
		}
	}
	t.Run("third", func(t *testing.T) {
		bothOut := make(chan struct{})
		first, second := newBroker(t, "i-1", resetAfter(bothOut)), newBroker(t, "i-2", func(e *exchange) { close(bothOut); e.reset() })
		third := newBroker(t, "i-3", func(e *exchange) { e.answer(200, "third") })
		w := newWorld(t, copying(first, second, third))
		assert.Equal(t, w.do(get("/safe/a", "r1")).body, "third")
	})
	t.Run("none", func(t *testing.T) {
		bothOut := make(chan struct{})
		first, second := newBroker(t, "i-1", resetAfter(bothOut)), newBroker(t, "i-2", func(e *exchange) { close(bothOut); e.reject(503) })
		w := newWorld(t, copying(first, second))
		got := w.do(get("/safe/a", "r1"))
		assert.Equal(t, got.StatusCode, 502)
	})
	t.Run("failure kept", func(t *testing.T) {
		bothOut := make(chan struct{})
		first, second := newBroker(t, "i-1", resetAfter(bothOut)), newBroker(t, "i-2", func(e *exchange) { e.answer(500, "broken"); close(bothOut) })
		w := newWorld(t, copying(first, second))
		got := w.do(get("/safe/a", "r1"))
		assert.Equal(t, got.StatusCode, 500)
		assert.Equal(t, got.body, "broken")
	})
}

// TestNonIdempotentRequestIsNotHedged, whatever the router says.
func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	for _, path := range []string{"/unsafe/a", "/stream/a"} {
		first := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "first") })
		second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "second") })
		w := newWorld(t, copying(first, second))
		assert.Equal(t, w.do(post(path, "r1", "body")).body, "first")
		assert.Equal(t, second.arrived(), 0)
	}
}

// TestRouterMayDeclineHedge: the first attempt is waited for.
func TestRouterMayDeclineHedge(t *testing.T) {
	first := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "first") })
	port := copying(first)
	port.allowHedges = false
	w := newWorld(t, port)
	assert.Equal(t, w.do(get("/safe/a", "r1")).body, "first")
}
