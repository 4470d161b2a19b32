package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// Breach is a rule of RULES.md that was broken.
type Breach struct {
	Rule string
	Text string
}

// String gives the rule and how it was broken.
func (b Breach) String() string { return b.Rule + ": " + b.Text }

// evidence is all that was seen on sockets.
type evidence struct {
	bounds   Bounds
	records  []Record // the clients' tries
	arrivals []llmbroker.Arrival
	byID     map[string][]int // of arrivals, by request
	orders   []llmbroker.OrderArrival
	named    []fleetoperator.Acknowledgement // of weights
	drains   []drained
	crashed  []string  // brokers that ended without a word
	troubles []Trouble // of nodes
	breaches []Breach
}

// mostBreaches bounds how many breaches of one rule are told.
const mostBreaches = 10

func (e *evidence) breach(rule, form string, arguments ...any) {
	count := 0
	for _, b := range e.breaches {
		if b.Rule == rule {
			count++
		}
	}
	if count < mostBreaches {
		e.breaches = append(e.breaches, Breach{Rule: rule, Text: fmt.Sprintf(form, arguments...)})
	}
}

// evidence gathers what has been seen so far.
func (f *Fleet) evidence(load *Load) *evidence {
	e := &evidence{
		bounds: f.options.Bounds, records: load.Book.Records(), arrivals: f.Ledger.Arrivals(), orders: f.Ledger.Orders(),
		drains: f.drains, crashed: f.crashed,
	}
	for _, acknowledgement := range f.Operator.Acknowledged() {
		if acknowledgement.Model != "" {
			e.named = append(e.named, acknowledgement)
		}
	}
	for _, node := range f.Nodes {
		e.troubles = append(e.troubles, node.Troubles()...)
	}
	e.index()
	return e
}

// index finds arrivals by request.
func (e *evidence) index() {
	e.byID = map[string][]int{}
	for i, arrival := range e.arrivals {
		e.byID[arrival.Request] = append(e.byID[arrival.Request], i)
	}
}

// Check looks for broken rules in what clients, brokers and the operator saw. It is to be called once the load has
// stopped.
func (f *Fleet) Check(load *Load) []Breach {
	e := f.evidence(load)
	e.check()
	if lost := f.Ledger.Overflowed(); lost > 0 {
		e.breach("COUNTS", "%d arrivals had no room", lost)
	}
	for _, text := range f.endedByThemselves() {
		e.breach("ENDS", "%s", text)
	}
	for _, node := range f.Nodes {
		e.checkLog(node.Name, node.Log())
	}
	return e.breaches
}

// crashWords in a node's log tell of a defect of the program.
var crashWords = []string{"DATA RACE", "panic:", "fatal error:"}

func (e *evidence) checkLog(node, log string) {
	for _, word := range crashWords {
		if at := strings.Index(log, word); at >= 0 {
			e.breach("LOG", "%s:\n%s", node, firstLines(log[at:], 40))
		}
	}
}

func firstLines(text string, count int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[:min(len(lines), count)], "\n")
}

func (e *evidence) check() {
	for i := range e.records {
		e.checkAnswer(&e.records[i])
		e.checkRuns(&e.records[i])
	}
	e.checkUnasked()
	e.checkDraining()
	e.checkWeights()
	e.checkSalts()
	e.checkOrders()
	e.checkBudget()
}

// runsOf gives the runs of a try.
func (e *evidence) runsOf(id string) []*llmbroker.Arrival {
	var runs []*llmbroker.Arrival
	for _, i := range e.byID[id] {
		if e.arrivals[i].Ran() {
			runs = append(runs, &e.arrivals[i])
		}
	}
	return runs
}

// doubled reports whether a try that may run at most once has run more often.
func (e *evidence) doubled(r *Record) bool { return !r.idempotent() && len(e.runsOf(r.ID)) > 1 }

// lost reports whether a try that a node had read got no whole answer, though the node was in no unplanned trouble.
func (e *evidence) lost(r *Record) bool {
	return r.Outcome == Closed && !e.brokerEnded(r) && !e.excused(r) && e.wasRead(r)
}

// wasRead: the try was passed on to a broker, or its connection lasted longer than the slack.
func (e *evidence) wasRead(r *Record) bool {
	return len(e.byID[r.ID]) > 0 || r.EndedAt.Sub(r.SentAt) > e.bounds.LossSlack
}

// excused: the node that took the try was killed or frozen in its time.
func (e *evidence) excused(r *Record) bool {
	for _, trouble := range e.troubles {
		over := !trouble.Until.IsZero() && trouble.Until.Before(r.FirstTry)
		if trouble.Node == r.Node && trouble.Kind != Stopped && !over && !trouble.From.After(r.EndedAt) {
			return true
		}
	}
	return false
}

// brokerEnded: the broker that ran the try has crashed.
func (e *evidence) brokerEnded(r *Record) bool {
	for _, run := range e.runsOf(r.ID) {
		if run.Disposition != llmbroker.Finished && slices.Contains(e.crashed, run.Instance) {
			return true
		}
	}
	return false
}

func (e *evidence) checkAnswer(r *Record) {
	if r.Problem != "" {
		e.breach("ANSWER", "%s (request %s on %s at %s)", r.Problem, r.ID, r.Prefix, r.Node)
	}
	if e.lost(r) {
		e.breach("LOST", "request %s on %s at %s, sent %s, closed %v later without a whole answer",
			r.ID, r.Prefix, r.Node, clock(r.SentAt), r.EndedAt.Sub(r.SentAt).Round(time.Millisecond))
	}
}

func (e *evidence) checkRuns(r *Record) {
	runs := e.runsOf(r.ID)
	if e.doubled(r) {
		e.breach("TWICE", "request %s on %s ran %d times", r.ID, r.Prefix, len(runs))
	}
	if r.Outcome == Refused && len(runs) > 0 && !r.idempotent() {
		e.breach("REFUSED", "request %s on %s was answered with %d, and has run", r.ID, r.Prefix, r.Status)
	}
	if allowed := route(r.Prefix).MaxAttempts; len(runs) > allowed {
		e.breach("BUDGET", "request %s on %s ran %d times, %d are allowed", r.ID, r.Prefix, len(runs), allowed)
	}
	for _, run := range runs {
		e.checkRun(r, run)
	}
}

// checkRun compares a run with what the client sent.
func (e *evidence) checkRun(r *Record, run *llmbroker.Arrival) {
	if run.Method != r.Method || run.URI != r.URI {
		e.breach("UNASKED", "request %s: %s %s was sent, %s %s has run", r.ID, r.Method, r.URI, run.Method, run.URI)
	}
	if tenant := tenantOf[r.Key]; run.Tenant != tenant {
		e.breach("UNASKED", "request %s of tenant %q has run for tenant %q", r.ID, tenant, run.Tenant)
	}
	if service := route(r.Prefix).Service; run.Service != service {
		e.breach("ROUTE", "request %s on %s has run at service %s", r.ID, r.Prefix, run.Service)
	}
}

// checkUnasked looks for runs that no client asked for.
func (e *evidence) checkUnasked() {
	asked := map[string]bool{}
	for _, r := range e.records {
		asked[r.ID] = true
	}
	for _, arrival := range e.arrivals {
		if arrival.Ran() && !asked[arrival.Request] {
			e.breach("UNASKED", "request %q, which no client sent, has run at %s", arrival.Request, arrival.Instance)
		}
	}
}

// checkDraining: no request reaches a broker later than the bound after its draining was acknowledged.
func (e *evidence) checkDraining() {
	for _, drain := range e.drains {
		until := drain.at.Add(e.bounds.Drain)
		for _, arrival := range e.arrivals {
			turnedAway := arrival.Disposition == llmbroker.TurnedAway && arrival.Status == 421
			if arrival.Instance == drain.instance && arrival.At.After(until) && !turnedAway {
				e.breach("DRAIN", "request %s reached %s %v after its draining was acknowledged",
					arrival.Request, drain.instance, arrival.At.Sub(drain.at).Round(time.Millisecond))
			}
		}
	}
}

// checkWeights: no request starts on older weights later than the bound after newer ones were acknowledged.
func (e *evidence) checkWeights() {
	for _, named := range e.named {
		until := named.At.Add(e.bounds.Version)
		for _, arrival := range e.arrivals {
			if arrival.Model == named.Model && arrival.Ran() && arrival.BegunAt.After(until) && arrival.Version < named.ModelVersion {
				e.breach("VERSION", "request %s began on version %d %v after version %d was acknowledged", arrival.Request,
					arrival.Version, arrival.BegunAt.Sub(named.At).Round(time.Millisecond), named.ModelVersion)
			}
		}
	}
}

// checkSalts: parts made under one version of weights, or for an isolated tenant, are found by no others.
func (e *evidence) checkSalts() {
	type use struct {
		version uint64
		wall    string
	}
	uses := map[string]use{}
	for _, arrival := range e.arrivals {
		if !arrival.Ran() || arrival.Version == 0 {
			continue
		}
		now := use{version: arrival.Version}
		if arrival.Tenant == tenantIsolated {
			now.wall = arrival.Tenant
		}
		before, known := uses[arrival.Salt]
		switch {
		case !known:
			uses[arrival.Salt] = now
		case before.version != now.version:
			e.breach("STALE", "salt %q stands for the versions %d and %d", arrival.Salt, before.version, now.version)
		case before.wall != now.wall:
			e.breach("WALL", "salt %q is shared by tenant %q and others", arrival.Salt, tenantIsolated)
		}
	}
}

// checkOrders: a fence has one holder, and holders do not take turns at a broker within the lease. Brokers check fences
// here, so that a lower one after a higher does no harm.
func (e *evidence) checkOrders() {
	holders := map[uint64]string{}
	last := map[string]llmbroker.OrderArrival{} // by instance
	for _, order := range e.orders {
		if order.Order.Fence == nil {
			e.breach("ONE", "an order without a fence reached %s", order.Instance)
			continue
		}
		fence := *order.Order.Fence
		if holder, known := holders[fence]; known && holder != order.Order.Holder {
			e.breach("ONE", "%s and %s share the fence %d", holder, order.Order.Holder, fence)
		}
		holders[fence] = order.Order.Holder
		before, known := last[order.Instance]
		if known && before.Order.Holder != order.Order.Holder && order.At.Sub(before.At) < e.bounds.Lease {
			e.breach("ONE", "%s and %s gave orders to %s within %v", before.Order.Holder, order.Order.Holder, order.Instance,
				order.At.Sub(before.At).Round(time.Millisecond))
		}
		last[order.Instance] = order
	}
}

// checkBudget: arrivals beyond the first of each request stay within the retry budget, in any window.
func (e *evidence) checkBudget() {
	bounds := e.bounds
	for _, service := range []string{serviceModel, servicePlain} {
		var requests, extra []time.Time
		for i := range e.records {
			if r := &e.records[i]; !r.SentAt.IsZero() && route(r.Prefix).Service == service {
				requests = append(requests, r.SentAt)
				for _, at := range e.byID[r.ID][min(1, len(e.byID[r.ID])):] {
					extra = append(extra, e.arrivals[at].At)
				}
			}
		}
		slices.SortFunc(requests, time.Time.Compare)
		slices.SortFunc(extra, time.Time.Compare)
		for _, start := range extra {
			end := start.Add(bounds.BudgetWindow)
			most := max(within(requests, start, end), within(requests, start.Add(-bounds.BudgetWindow), start),
				within(requests, start.Add(-bounds.BudgetWindow/2), end.Add(-bounds.BudgetWindow/2)))
			if used := within(extra, start, end); float64(used) > bounds.RetryBudgetRatio*float64(most)+bounds.RetryBudgetSlack {
				e.breach("BUDGET", "%d arrivals beyond the first at %s in %v, for %d requests", used, service, bounds.BudgetWindow, most)
				break
			}
		}
	}
}

// within counts sorted times from start, before end.
func within(times []time.Time, start, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
	return last - first
}

func clock(at time.Time) string { return at.Format("15:04:05.000") }
