package fleet

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// begun is the time from which the planted evidence counts.
var begun = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func after(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }

// fine is evidence in which no rule is broken: one unsafe request, and one stream.
func fine() *evidence {
	return &evidence{
		bounds: DefaultBounds(),
		records: []Record{
			{ID: "p", Kind: Unsafe, Prefix: prefixPrint, Method: "POST", URI: "/print/a", Key: keyShared, Node: "node-1",
				FirstTry: after(0), SentAt: after(0), EndedAt: after(40), Outcome: Answered, Status: 200},
			{ID: "s", Kind: Streaming, Prefix: prefixVerdict, Method: "POST", URI: "/verdict/a", Key: keyIsolated, Node: "node-1",
				FirstTry: after(0), SentAt: after(0), EndedAt: after(900), Outcome: Answered, Status: 200},
		},
		arrivals: []llmbroker.Arrival{
			{Request: "p", Service: servicePlain, Instance: "i-1", Method: "POST", URI: "/print/a", Tenant: tenantShared,
				At: after(5), BegunAt: after(5), Disposition: llmbroker.Finished, Status: 200},
			{Request: "s", Service: serviceModel, Instance: "i-2", Method: "POST", URI: "/verdict/a", Tenant: tenantIsolated,
				Model: modelName, Salt: "m|1|south", Version: 1, At: after(5), BegunAt: after(50), Disposition: llmbroker.Finished, Status: 200},
		},
	}
}

// again adds an arrival that differs from an earlier one.
func (e *evidence) again(index int, alter func(*llmbroker.Arrival)) {
	arrival := e.arrivals[index]
	alter(&arrival)
	e.arrivals = append(e.arrivals, arrival)
}

func orderOf(holder string, fence uint64, at int) llmbroker.OrderArrival {
	return llmbroker.OrderArrival{Instance: "i-2", Order: llmbroker.Order{Holder: holder, Fence: &fence}, At: after(at)}
}

// TestBrokenRulesAreFound plants one breach after the other (RULES.md).
func TestBrokenRulesAreFound(t *testing.T) {
	for _, test := range []struct {
		name  string
		plant func(*evidence)
		rule  string // empty: none is broken
	}{
		{"none", func(*evidence) {}, ""},
		{"an unsafe request runs twice", func(e *evidence) {
			e.again(0, func(a *llmbroker.Arrival) { a.Instance = "i-3" })
		}, "TWICE"},
		{"a stream that may not be resumed runs twice", func(e *evidence) {
			e.again(1, func(a *llmbroker.Arrival) { a.Instance = "i-3" })
		}, "TWICE"},
		{"a second broker turned it away", func(e *evidence) {
			e.again(0, func(a *llmbroker.Arrival) { a.Disposition, a.BegunAt = llmbroker.TurnedAway, time.Time{} })
		}, ""},
		{"refused, and has run", func(e *evidence) { e.records[0].Outcome, e.records[0].Status = Refused, 503 }, "REFUSED"},
		{"no answer", func(e *evidence) { e.records[0].Outcome = Closed }, "LOST"},
		{"no answer from a node that was killed", func(e *evidence) {
			e.records[0].Outcome = Closed
			e.troubles = []Trouble{{Node: "node-1", Kind: Killed, From: after(20), Until: after(100)}}
		}, ""},
		{"no answer from a node that was stopped", func(e *evidence) {
			e.records[0].Outcome = Closed
			e.troubles = []Trouble{{Node: "node-1", Kind: Stopped, From: after(20), Until: after(100)}}
		}, "LOST"},
		{"no answer as another node was killed", func(e *evidence) {
			e.records[0].Outcome = Closed
			e.troubles = []Trouble{{Node: "node-2", Kind: Killed, From: after(20)}}
		}, "LOST"},
		{"no answer from a node that was killed before", func(e *evidence) {
			e.records[0].Outcome = Closed
			e.troubles = []Trouble{{Node: "node-1", Kind: Killed, From: after(-200), Until: after(-100)}}
		}, "LOST"},
		{"the broker crashed", func(e *evidence) {
			e.records[0].Outcome = Closed
			e.arrivals[0].Disposition = llmbroker.Aborted
			e.crashed = []string{"i-1"}
		}, ""},
		{"closed before it was read", func(e *evidence) {
			e.records[0].Outcome = Closed
			e.arrivals = e.arrivals[1:]
		}, ""},
		{"held and then closed", func(e *evidence) {
			e.records[0].Outcome, e.records[0].EndedAt = Closed, after(400)
			e.arrivals = e.arrivals[1:]
		}, "LOST"},
		{"a crash in a log", func(e *evidence) { e.checkLog("node-1", "well\npanic: planted") }, "LOG"},
		{"a plain log", func(e *evidence) { e.checkLog("node-1", "level=INFO msg=view epoch=1") }, ""},
		{"what the client saw", func(e *evidence) { e.records[0].Problem = "MIXED: planted" }, "ANSWER"},
		{"more brokers than allowed", func(e *evidence) {
			e.records[0].Prefix, e.records[0].Kind = prefixLookup, Safe
			for range 3 {
				e.again(0, func(*llmbroker.Arrival) {})
			}
		}, "BUDGET"},
		{"another path", func(e *evidence) { e.arrivals[0].URI = "/print/b" }, "UNASKED"},
		{"another method", func(e *evidence) { e.arrivals[0].Method = "GET" }, "UNASKED"},
		{"another tenant", func(e *evidence) { e.arrivals[0].Tenant = tenantIsolated }, "UNASKED"},
		{"an id that nobody sent", func(e *evidence) {
			e.again(0, func(a *llmbroker.Arrival) { a.Request = "x" })
		}, "UNASKED"},
		{"another service", func(e *evidence) { e.arrivals[0].Service = serviceModel }, "ROUTE"},
		{"late at a draining broker", func(e *evidence) { e.drains = []drained{{"i-1", after(-2000)}} }, "DRAIN"},
		{"in time at a draining broker", func(e *evidence) { e.drains = []drained{{"i-1", after(-1900)}} }, ""},
		{"older weights", func(e *evidence) {
			e.named = []fleetoperator.Acknowledgement{{Model: modelName, ModelVersion: 2, At: after(-8000)}}
		}, "VERSION"},
		{"older weights in time", func(e *evidence) {
			e.named = []fleetoperator.Acknowledgement{{Model: modelName, ModelVersion: 2, At: after(-7900)}}
		}, ""},
		{"a salt for two versions", func(e *evidence) {
			e.records = append(e.records, e.records[1])
			e.records[2].ID = "s2"
			e.again(1, func(a *llmbroker.Arrival) { a.Request, a.Version = "s2", 2 })
		}, "STALE"},
		{"a salt for two tenants", func(e *evidence) {
			e.records = append(e.records, e.records[1])
			e.records[2].ID, e.records[2].Key = "s2", keyShared
			e.again(1, func(a *llmbroker.Arrival) { a.Request, a.Tenant = "s2", tenantShared })
		}, "WALL"},
		{"a fence for two holders", func(e *evidence) {
			e.orders = []llmbroker.OrderArrival{orderOf("a", 4, 0), orderOf("b", 4, 4000)}
		}, "ONE"},
		{"turns within the lease", func(e *evidence) {
			e.orders = []llmbroker.OrderArrival{orderOf("a", 4, 0), orderOf("b", 5, 2900)}
		}, "ONE"},
		{"turns after the lease", func(e *evidence) {
			e.orders = []llmbroker.OrderArrival{orderOf("a", 4, 0), orderOf("b", 5, 3100)}
		}, ""},
		{"arrivals beyond the budget", func(e *evidence) {
			e.bounds.RetryBudgetSlack = 0
			e.records[0].Prefix, e.records[0].Kind = prefixLookup, Safe
			e.again(0, func(a *llmbroker.Arrival) { a.Disposition, a.BegunAt = llmbroker.TurnedAway, time.Time{} })
		}, "BUDGET"},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := fine()
			test.plant(e)
			e.index()
			e.check()
			if test.rule == "" {
				assert.Equal(t, len(e.breaches), 0, "%v", e.breaches)
				return
			}
			found := slices.ContainsFunc(e.breaches, func(b Breach) bool { return b.Rule == test.rule })
			assert.Assert(t, found, "%v", e.breaches)
		})
	}
}

// TestWhatIsWrongWithAStream reads planted streams as a client does.
func TestWhatIsWrongWithAStream(t *testing.T) {
	sent := &request{uri: "/verdict/a", body: []byte("q")}
	piece := func(number int) string { return llmbroker.Piece(sent.uri, sent.body, number) }
	type event struct {
		id         int
		piece, run string
	}
	whole := []event{{1, piece(1), "i-1.1"}, {2, piece(2), "i-1.1"}}
	for _, test := range []struct {
		name    string
		prefix  string
		events  []event
		problem string
	}{
		{"whole", prefixVerdict, whole, ""},
		{"twice", prefixVerdict, []event{whole[0], whole[0]}, "ORDER: event 1 follows event 1"},
		{"left out", prefixVerdict, whole[1:], "ORDER: event 2 follows event 0"},
		{"of another request", prefixVerdict, []event{whole[0], {2, "x", "i-1.1"}}, "MIXED: event 2 belongs to another request"},
		{"joined", prefixVerdict, []event{whole[0], {2, piece(2), "i-2.1"}}, "ORDER: events of the runs i-1.1 and i-2.1 are joined"},
		{"taken up", prefixDraft, []event{whole[0], {2, piece(2), "i-2.1"}}, ""},
		{"another seal", prefixVerdict, []event{{1, piece(1), "i-2.1"}}, "MIXED: the seal of i-1.1 stands on run i-2.1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			record := &Record{Kind: Streaming, Prefix: test.prefix}
			reader := &streamReader{record: record, request: sent, seal: seal{instance: "i-1", run: "1", check: 2}}
			for _, e := range test.events {
				reader.check(e.id, e.piece, e.run)
			}
			assert.Equal(t, record.Problem, test.problem)
		})
	}
}

// TestTallies counts outcomes, late answers among them.
func TestTallies(t *testing.T) {
	e := fine()
	e.records[1].Late = true
	for _, outcome := range []Outcome{Refused, Denied, Failed, Unsent} {
		e.records = append(e.records, Record{ID: idOf(outcome), Outcome: outcome})
	}
	e.index()
	var tally Tally
	for i := range e.records {
		tally.add(e, &e.records[i])
	}
	assert.Equal(t, tally, Tally{Sent: 6, Answered: 2, Late: 1, Refused: 1, Failed: 2, Unread: 1})
}

func idOf(outcome Outcome) string { return string(rune('a' + outcome)) }
