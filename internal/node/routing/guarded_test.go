package routing

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/verdict"
)

// Goroutines of many connections can use one router at once. The race detector shows missing locks.
func TestConcurrentCalls(t *testing.T) {
	router := New(0, Options{Zone: "z0", RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, Random: rand.New(rand.NewPCG(1, 1))})
	g := NewLockedRouter(router, nil, nil)
	g.SetProxyCount(0, 4)
	g.SetConfig(0, configOf(nil))
	g.SetTable(0, tableOf(instances(4)...))
	var all sync.WaitGroup
	for worker := range 8 {
		all.Go(func() {
			for i := range 200 {
				now := core.Time(worker+8*i) * ms
				id, d := g.Begin(now, Request{Route: safeRoute, Service: service, Deadline: now + time.Second})
				if d.Attempt == nil {
					continue
				}
				g.AnswerStarted(now, id, d.Attempt.Number, &Load{Running: 1, Slots: 8})
				g.Hedge(now, id)
				g.AttemptEnded(now, id, d.Attempt.Number, Outcome{Verdict: verdict.Ran, Answered: true, Status: 200}, false)
				g.End(now, id)
				g.ObserveLoad(now, d.Attempt.Instance.ID, Load{Slots: 8})
				g.RecordStoreHealth(now, "10.9.0.1:9000", true, false)
				g.RecordProcessPause(0)
			}
		})
	}
	all.Wait()
	assert.Equal(t, g.Counters().Requests, uint64(8*200))
	assert.Equal(t, g.router.PendingRequests(), 0)
}
