package fleet

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/harness/keyhistory"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// evidenceStart is the time that the constructed evidence starts at.
var evidenceStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func after(ms int) time.Time { return evidenceStart.Add(time.Duration(ms) * time.Millisecond) }

// firstKeys is the history of API keys with the first configuration alone.
func firstKeys() *keyhistory.History {
	history := &keyhistory.History{}
	history.Add(keyhistory.Order{Version: FirstVersion, Tenants: FirstTenants(), SentAt: after(-8000), AcknowledgedAt: after(-7900)})
	return history
}

// addTenants adds a configuration with other tenants, acknowledged at a time.
func (e *evidence) addTenants(tenants []config.Tenant, at int) {
	e.keys.Add(keyhistory.Order{Version: FirstVersion + 1, Tenants: tenants, SentAt: after(at), AcknowledgedAt: after(at)})
}

// validEvidence is evidence without a violation: one unsafe request, and one stream.
func validEvidence() *evidence {
	return &evidence{
		bounds: DefaultBounds(),
		keys:   firstKeys(),
		attempts: []Attempt{
			{ID: "p", Kind: Unsafe, Prefix: prefixPrint, Method: "POST", URI: "/print/a", Key: keyShared, Node: "node-1",
				FirstAttemptAt: after(0), SentAt: after(0), EndedAt: after(40), Outcome: Answered, Status: 200},
			{ID: "s", Kind: Streaming, Prefix: prefixVerdict, Method: "POST", URI: "/verdict/a", Key: keyIsolated, Node: "node-1",
				FirstAttemptAt: after(0), SentAt: after(0), EndedAt: after(900), Outcome: Answered, Status: 200},
		},
		arrivals: []llmbroker.Arrival{
			{Request: "p", Service: servicePlain, Instance: "i-1", Method: "POST", URI: "/print/a", Tenant: tenantShared,
				ReceivedAt: after(5), StartedAt: after(5), Disposition: llmbroker.Finished, Status: 200},
			{Request: "s", Service: serviceModel, Instance: "i-2", Method: "POST", URI: "/verdict/a", Tenant: tenantIsolated,
				Model: modelName, Salt: "m|1|south", Version: 1, ReceivedAt: after(5), StartedAt: after(50), Disposition: llmbroker.Finished, Status: 200},
		},
	}
}

// repeatArrival adds an altered copy of an arrival.
func (e *evidence) repeatArrival(index int, alter func(*llmbroker.Arrival)) {
	arrival := e.arrivals[index]
	alter(&arrival)
	e.arrivals = append(e.arrivals, arrival)
}

func orderOf(holder string, fence uint64, at int) llmbroker.OrderArrival {
	return llmbroker.OrderArrival{Instance: "i-2", Order: llmbroker.Order{LeaseHolder: holder, FencingToken: &fence}, ReceivedAt: after(at)}
}

// violationCase is evidence that violates a rule, or just doesn't.
type violationCase struct {
	name  string
	plant func(*evidence)
	rule  string // empty: none is broken
}

// lostCases are of requests without an answer, or with one that they must not have.
var lostCases = []violationCase{
	{"none", func(*evidence) {}, ""},
	{"an unsafe request runs twice", func(e *evidence) {
		e.repeatArrival(0, func(a *llmbroker.Arrival) { a.Instance = "i-3" })
	}, "TWICE"},
	{"a stream that may not be resumed runs twice", func(e *evidence) {
		e.repeatArrival(1, func(a *llmbroker.Arrival) { a.Instance = "i-3" })
	}, "TWICE"},
	{"a second broker rejected it", func(e *evidence) {
		e.repeatArrival(0, func(a *llmbroker.Arrival) { a.Disposition, a.StartedAt = llmbroker.Rejected, time.Time{} })
	}, ""},
	{"rejected, and has run", func(e *evidence) { e.attempts[0].Outcome, e.attempts[0].Status = Rejected, 503 }, "REFUSED"},
	{"no answer", func(e *evidence) { e.attempts[0].Outcome = ConnectionClosed }, "LOST"},
	{"no answer from a node that was killed", func(e *evidence) {
		e.attempts[0].Outcome = ConnectionClosed
		e.nodeFaults = []NodeFault{{Node: "node-1", Kind: Killed, StartedAt: after(20), EndedAt: after(100)}}
	}, ""},
	{"no answer while the node's links failed", func(e *evidence) {
		e.attempts[0].Outcome = ConnectionClosed
		e.linkFaults = []LinkFault{{Node: "node-1", StartedAt: after(20), EndedAt: after(100)}}
	}, ""},
	{"no answer while another node's links failed", func(e *evidence) {
		e.attempts[0].Outcome = ConnectionClosed
		e.linkFaults = []LinkFault{{Node: "node-2", StartedAt: after(20), EndedAt: after(100)}}
	}, "LOST"},
	{"no answer long after the node's links failed", func(e *evidence) {
		e.attempts[0].Outcome = ConnectionClosed
		e.linkFaults = []LinkFault{{Node: "node-1", StartedAt: after(-9000), EndedAt: after(-8000)}}
	}, "LOST"},
	{"no answer from a node that was stopped", func(e *evidence) {
		e.attempts[0].Outcome = ConnectionClosed
		e.nodeFaults = []NodeFault{{Node: "node-1", Kind: Stopped, StartedAt: after(20), EndedAt: after(100)}}
	}, "LOST"},
	{"no answer as another node was killed", func(e *evidence) {
		e.attempts[0].Outcome = ConnectionClosed
		e.nodeFaults = []NodeFault{{Node: "node-2", Kind: Killed, StartedAt: after(20)}}
	}, "LOST"},
	{"no answer from a node that was killed before", func(e *evidence) {
		e.attempts[0].Outcome = ConnectionClosed
		e.nodeFaults = []NodeFault{{Node: "node-1", Kind: Killed, StartedAt: after(-200), EndedAt: after(-100)}}
	}, "LOST"},
	{"the broker crashed", func(e *evidence) {
		e.attempts[0].Outcome = ConnectionClosed
		e.arrivals[0].Disposition = llmbroker.Aborted
		e.crashedBrokers = []string{"i-1"}
	}, ""},
	{"closed before it was read", func(e *evidence) {
		e.attempts[0].Outcome = ConnectionClosed
		e.arrivals = e.arrivals[1:]
	}, ""},
	{"pending and then closed", func(e *evidence) {
		e.attempts[0].Outcome, e.attempts[0].EndedAt = ConnectionClosed, after(400)
		e.arrivals = e.arrivals[1:]
	}, "LOST"},
	{"a crash in a log", func(e *evidence) { e.checkLog("node-1", "well\npanic: planted") }, "LOG"},
	{"a plain log", func(e *evidence) { e.checkLog("node-1", "level=INFO msg=view epoch=1") }, ""},
	{"what the client saw", func(e *evidence) { e.attempts[0].Defect = "MIXED: planted" }, "ANSWER"},
}

// runCases are of requests that ran where they must not.
var runCases = []violationCase{
	{"more brokers than allowed", func(e *evidence) {
		e.attempts[0].Prefix, e.attempts[0].Kind = prefixLookup, Safe
		for range 3 {
			e.repeatArrival(0, func(*llmbroker.Arrival) {})
		}
	}, "BUDGET"},
	{"another path", func(e *evidence) { e.arrivals[0].URI = "/print/b" }, "UNASKED"},
	{"another method", func(e *evidence) { e.arrivals[0].Method = "GET" }, "UNASKED"},
	{"another tenant", func(e *evidence) { e.arrivals[0].Tenant = tenantIsolated }, "UNASKED"},
	{"a key that no configuration has", func(e *evidence) { e.attempts[0].Key = "key" }, "ROUTE"},
	{"no key", func(e *evidence) { e.attempts[0].Key, e.arrivals[0].Tenant = "", "" }, "UNASKED"},
	{"no key on a public route", func(e *evidence) {
		e.attempts[0].Prefix, e.attempts[0].Kind, e.attempts[0].Key, e.arrivals[0].Tenant = prefixStatus, Safe, "", ""
	}, ""},
	{"a tenant on a public route", func(e *evidence) { e.attempts[0].Prefix, e.attempts[0].Kind = prefixStatus, Safe }, "UNASKED"},
	{"no key where none is required", func(e *evidence) {
		e.attempts[0].Key, e.arrivals[0].Tenant = "", ""
		e.addTenants(nil, -200)
	}, ""},
	{"a key that was revoked a moment ago", func(e *evidence) { e.addTenants(FirstTenants()[1:], -4900) }, ""},
	{"a key that was revoked long ago", func(e *evidence) { e.addTenants(FirstTenants()[1:], -5100) }, "CONFIG"},
	{"a key of a list that was taken away", func(e *evidence) {
		e.attempts = e.attempts[:1]
		e.arrivals = e.arrivals[:1]
		e.arrivals[0].Tenant = ""
		e.addTenants(nil, -5100)
	}, "CONFIG"},
	{"a key that was revoked long ago, where revocation is not global", func(e *evidence) {
		e.bounds.GlobalRevocation = false
		e.addTenants(FirstTenants()[1:], -5100)
	}, ""},
	{"an ID that no client sent", func(e *evidence) {
		e.repeatArrival(0, func(a *llmbroker.Arrival) { a.Request = "x" })
	}, "UNASKED"},
	{"another service", func(e *evidence) { e.arrivals[0].Service = serviceModel }, "ROUTE"},
}

// brokerCases are of drains, weights, salts, orders and the retry budget.
var brokerCases = []violationCase{
	{"late at a draining broker", func(e *evidence) { e.drains = []drainedBroker{{"i-1", after(-2000)}} }, "DRAIN"},
	{"in time at a draining broker", func(e *evidence) { e.drains = []drainedBroker{{"i-1", after(-1900)}} }, ""},
	{"older weights", func(e *evidence) {
		e.ackedWeights = []fleetoperator.Acknowledgement{{Model: modelName, ModelVersion: 2, ReceivedAt: after(-8000)}}
	}, "VERSION"},
	{"older weights in time", func(e *evidence) {
		e.ackedWeights = []fleetoperator.Acknowledgement{{Model: modelName, ModelVersion: 2, ReceivedAt: after(-7900)}}
	}, ""},
	{"a salt for two versions", func(e *evidence) {
		e.attempts = append(e.attempts, e.attempts[1])
		e.attempts[2].ID = "s2"
		e.repeatArrival(1, func(a *llmbroker.Arrival) { a.Request, a.Version = "s2", 2 })
	}, "STALE"},
	{"a salt for two tenants", func(e *evidence) {
		e.attempts = append(e.attempts, e.attempts[1])
		e.attempts[2].ID, e.attempts[2].Key = "s2", keyShared
		e.repeatArrival(1, func(a *llmbroker.Arrival) { a.Request, a.Tenant = "s2", tenantShared })
	}, "WALL"},
	{"a fencing token for two holders", func(e *evidence) {
		e.modelOrders = []llmbroker.OrderArrival{orderOf("a", 4, 0), orderOf("b", 4, 4000)}
	}, "ONE"},
	{"two holders within the lease", func(e *evidence) {
		e.modelOrders = []llmbroker.OrderArrival{orderOf("a", 4, 0), orderOf("b", 5, 2900)}
	}, "ONE"},
	{"two holders after the lease", func(e *evidence) {
		e.modelOrders = []llmbroker.OrderArrival{orderOf("a", 4, 0), orderOf("b", 5, 3100)}
	}, ""},
	{"arrivals beyond the budget", func(e *evidence) {
		e.bounds.RetryBudgetSlack = 0
		e.attempts[0].Prefix, e.attempts[0].Kind = prefixLookup, Safe
		e.repeatArrival(0, func(a *llmbroker.Arrival) { a.Disposition, a.StartedAt = llmbroker.Rejected, time.Time{} })
	}, "BUDGET"},
}

// TestViolationsAreDetected constructs evidence of each violation of RULES.md.
func TestViolationsAreDetected(t *testing.T) {
	for _, test := range slices.Concat(lostCases, runCases, brokerCases) {
		t.Run(test.name, func(t *testing.T) {
			e := validEvidence()
			test.plant(e)
			e.indexArrivals()
			e.check()
			if test.rule == "" {
				assert.Equal(t, len(e.violations), 0, "%v", e.violations)
				return
			}
			found := slices.ContainsFunc(e.violations, func(b Violation) bool { return b.Rule == test.rule })
			assert.Assert(t, found, "%v", e.violations)
		})
	}
}

// TestStreamReaderReportsInvalidEvents checks constructed streams as a client does.
func TestStreamReaderReportsInvalidEvents(t *testing.T) {
	sent := &request{uri: "/verdict/a", body: []byte("q")}
	text := func(number int) string { return llmbroker.EventText(sent.uri, sent.body, number) }
	type event struct {
		id        int
		text, run string
	}
	complete := []event{{1, text(1), "i-1.1"}, {2, text(2), "i-1.1"}}
	for _, test := range []struct {
		name   string
		prefix string
		events []event
		defect string
	}{
		{"complete", prefixVerdict, complete, ""},
		{"twice", prefixVerdict, []event{complete[0], complete[0]}, "ORDER: event 1 follows event 1"},
		{"missing", prefixVerdict, complete[1:], "ORDER: event 2 follows event 0"},
		{"of another request", prefixVerdict, []event{complete[0], {2, "x", "i-1.1"}}, "MIXED: event 2 belongs to another request"},
		{"joined", prefixVerdict, []event{complete[0], {2, text(2), "i-2.1"}}, "ORDER: events of the runs i-1.1 and i-2.1 are joined"},
		{"resumed", prefixDraft, []event{complete[0], {2, text(2), "i-2.1"}}, ""},
		{"another seal", prefixVerdict, []event{{1, text(1), "i-2.1"}}, "MIXED: the seal of i-1.1 stands on run i-2.1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			attempt := &Attempt{Kind: Streaming, Prefix: test.prefix}
			reader := &streamReader{attempt: attempt, request: sent, seal: seal{instance: "i-1", run: "1", check: 2}}
			for _, e := range test.events {
				reader.checkEvent(e.id, e.text, e.run)
			}
			assert.Equal(t, attempt.Defect, test.defect)
		})
	}
}

// TestTallyCountsOutcomes: late answers are counted as answered as well.
func TestTallyCountsOutcomes(t *testing.T) {
	e := validEvidence()
	e.attempts[1].Late = true
	for _, outcome := range []Outcome{Rejected, ClientError, ServerError, Unsent} {
		e.attempts = append(e.attempts, Attempt{ID: idOf(outcome), Outcome: outcome})
	}
	e.indexArrivals()
	var tally Tally
	for i := range e.attempts {
		tally.add(e, &e.attempts[i])
	}
	assert.Equal(t, tally, Tally{Sent: 6, Answered: 2, Late: 1, Rejected: 1, Failed: 2, NotRead: 1})
}

func idOf(outcome Outcome) string { return string(rune('a' + outcome)) }
