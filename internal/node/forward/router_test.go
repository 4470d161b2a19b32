package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing"
)

// withRouter puts the fleet's router in the place of the scripted one.
func withRouter(brokers ...*broker) setup {
	return func(w *world, options *Options) {
		router := routing.NewLockedRouter(routing.New(0, routing.Options{
			Zone:             "zone",
			RetryBudgetRatio: 10, // no budget stands in the way of one more attempt
			RetryBudgetSlack: 100,
			BudgetWindow:     10 * time.Second,
			Random:           rand.New(rand.NewPCG(1, 2)),
		}), nil, nil)
		table := &registry.Table{Revision: 1, ByService: map[string][]*registry.Instance{}, ByID: map[string]*registry.Instance{}}
		for _, b := range brokers {
			b.instance.Zone = "zone"
			table.ByService["service"] = append(table.ByService["service"], b.instance)
			table.ByID[b.instance.ID] = b.instance
		}
		now := core.Time(0)
		router.SetConfig(now, w.config.compiled)
		router.SetProxyCount(now, 1)
		router.SetTable(now, table)
		options.Router = router
	}
}

// failingOnce is a script that fails at the first request of all brokers together, and answers the others.
func failingOnce(fail, answer func(*exchange)) func(*exchange) {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	return func(e *exchange) {
		select {
		case <-first:
			fail(e)
		default:
			answer(e)
		}
	}
}

// TestAnswersWithRealRouter: what brokers do, decided on by the fleet's own router.
func TestAnswersWithRealRouter(t *testing.T) {
	complete := func(e *exchange) { e.answer(200, "ok") }
	for _, test := range []struct {
		name, request string
		fail, answer  func(*exchange)
		status        int
		body          string
		arrivals      int
	}{
		{"answered", post("/unsafe/a", "r1", "body"), complete, complete, 200, "ok", 1},
		{"unsafe, turned away", post("/unsafe/a", "r1", "body"), func(e *exchange) { e.reject(503) }, complete, 200, "ok", 2},
		{"unsafe, reset", post("/unsafe/a", "r1", "body"), func(e *exchange) { e.reset() }, complete, 502, "", 1},
		{"unsafe, failed", post("/unsafe/a", "r1", "body"), func(e *exchange) { e.answer(500, "no") }, complete, 500, "no", 1},
		{"safe, reset", get("/safe/a", "r1"), func(e *exchange) { e.reset() }, complete, 200, "ok", 2},
		{"safe, body cut short", get("/safe/a", "r1"), func(e *exchange) {
			e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Length: 10\r\n\r\nhalf")
			e.close()
		}, complete, 200, "ok", 2},
		{"safe, failed", get("/safe/a", "r1"), func(e *exchange) { e.answer(500, "no") }, complete, 200, "ok", 2},
		{"stream, turned away", post("/stream/a", "r1", "prompt"), func(e *exchange) { e.reject(503) }, streamOf(1, 3),
			200, events(1, 3), 2},
		{"stream, reset before an event", post("/stream/a", "r1", "prompt"), func(e *exchange) { e.streamHead(); e.reset() },
			streamOf(1, 3), 502, "", 1},
		{"resumable stream, cut", post("/resumable/a", "r1", "prompt"), func(e *exchange) {
			e.streamHead()
			e.event(1)
			e.close()
		}, streamOf(2, 3), 200, events(1, 3), 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			script := failingOnce(test.fail, test.answer)
			first, second := newBroker(t, "i-1", script), newBroker(t, "i-2", script)
			w := newWorld(t, newScriptedRouter(), withRouter(first, second))
			got := w.do(test.request)
			assert.NilError(t, got.bodyErr)
			assert.Equal(t, got.StatusCode, test.status)
			assert.Equal(t, got.body, test.body)
			assert.Equal(t, first.arrived()+second.arrived(), test.arrivals)
		})
	}
}

// TestRouterWithoutBrokers: the client is told when to come again.
func TestRouterWithoutBrokers(t *testing.T) {
	w := newWorld(t, newScriptedRouter(), withRouter())
	got := w.do(post("/unsafe/a", "r1", "body"))
	assert.Equal(t, got.StatusCode, 503)
	assert.Assert(t, got.Header.Get(headerRetryAfter) != "")
}
