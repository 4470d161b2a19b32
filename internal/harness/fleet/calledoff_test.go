package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/standin/llmbroker"
)

// TestBrokersAreCalledOffWhenClientsLeave guards against GONE with real processes: clients of a safe route leave while brokers work
// (docs/incidents/gone.md; the rule is checked by finish).
func TestBrokersAreCalledOffWhenClientsLeave(t *testing.T) {
	s := newScenarioOf(t, Options{LeavingClients: true}, nil)
	s.must(s.Await(s.ctx, "clients that leave", func(context.Context) error {
		left := 0
		for _, attempt := range s.load.Attempts.All() {
			if attempt.Outcome == Left {
				left++
			}
		}
		if left < 20 {
			return fmt.Errorf("%d have left", left)
		}
		return nil
	}))
	s.finish()
}

// TestStopOfTheLoadWaitsForBrokersToBeCalledOff: a client that leaves as the load ends is judged by what its broker did half a second
// later, not by what it does at that moment.
func TestStopOfTheLoadWaitsForBrokersToBeCalledOff(t *testing.T) {
	load := &Load{Attempts: &AttemptLog{}, fleet: &Fleet{options: Options{LeavingClients: true}}, cancel: func() {}}
	leftAt := time.Now()
	load.Stop()
	assert.Assert(t, time.Since(leftAt) >= calledOffBound)
}

// TestCheckOfCallsOff: what brokers did after clients had left is judged by the bounds of the rule.
func TestCheckOfCallsOff(t *testing.T) {
	at := time.Now()
	leave := func(id string) Attempt {
		return Attempt{ID: id, Kind: Safe, Prefix: prefixReport, Node: "node-1", FirstAttemptAt: at, SentAt: at, EndedAt: at.Add(100 * time.Millisecond), Outcome: Left}
	}
	run := func(id string, worked time.Duration) llmbroker.Arrival {
		return llmbroker.Arrival{Request: id, ReceivedAt: at, StartedAt: at, EndedAt: at.Add(worked), Disposition: llmbroker.Aborted}
	}
	const prompt, tooLong = 300 * time.Millisecond, 700 * time.Millisecond
	for name, test := range map[string]struct {
		worked  []time.Duration
		alter   func(*evidence)
		violate bool
	}{
		"all are called off":     {worked: []time.Duration{prompt, prompt, prompt, prompt}},
		"a quarter is not":       {worked: []time.Duration{prompt, prompt, prompt, tooLong}},
		"more than a quarter":    {worked: []time.Duration{prompt, prompt, tooLong}, violate: true},
		"none ends":              {worked: []time.Duration{prompt}, alter: func(e *evidence) { e.arrivals[0].EndedAt = time.Time{} }, violate: true},
		"would have ended":       {worked: []time.Duration{tooLong}, alter: func(e *evidence) { e.arrivals[0].StartedAt = at.Add(-time.Second) }},
		"the node was disturbed": {worked: []time.Duration{tooLong}, alter: func(e *evidence) { e.nodeFaults = []NodeFault{{Node: "node-1", StartedAt: at.Add(-time.Second)}} }},
		"few come late": {worked: []time.Duration{prompt, prompt, prompt}, alter: func(e *evidence) {
			for i := range e.arrivals {
				e.arrivals[i].ReceivedAt = at.Add(time.Second)
			}
		}},
		"many come late": {worked: []time.Duration{prompt, prompt, prompt, prompt}, alter: func(e *evidence) {
			for i := range e.arrivals {
				e.arrivals[i].ReceivedAt = at.Add(time.Second)
			}
		}, violate: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := &evidence{bounds: DefaultBounds()}
			for i, worked := range test.worked {
				id := string(rune('a' + i))
				e.attempts = append(e.attempts, leave(id))
				e.arrivals = append(e.arrivals, run(id, worked))
			}
			if test.alter != nil {
				test.alter(e)
			}
			e.indexArrivals()
			e.checkCallsOff()
			assert.Equal(t, len(e.violations) > 0, test.violate, "%v", e.violations)
		})
	}
}
