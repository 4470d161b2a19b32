package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"kestrelspread/internal/harness/keyhistory"
	"kestrelspread/internal/standin/fleetoperator"
	"kestrelspread/internal/standin/llmbroker"
)

// Violation is a violated rule of RULES.md, with a description.
type Violation struct {
	Rule string
	Text string
}

// String returns the rule and the description.
func (b Violation) String() string { return b.Rule + ": " + b.Text }

// evidence is everything that clients, brokers and the operator observed on sockets.
type evidence struct {
	bounds            Bounds
	attempts          []Attempt // of all clients
	arrivals          []llmbroker.Arrival
	arrivalsByRequest map[string][]int // indices of arrivals by request ID
	modelOrders       []llmbroker.OrderArrival
	ackedWeights      []fleetoperator.Acknowledgement // of versions of the weights
	drains            []drainedBroker
	crashedBrokers    []string  // IDs
	isolatedAt        time.Time // of tenantLater; zero: it is not
	keys              *keyhistory.History
	logs              map[string]string // of nodes, by name
	core              []string          // names of the nodes with a disk
	nodeFaults        []NodeFault
	linkFaults        []LinkFault
	violations        []Violation
}

// maxViolationsPerRule bounds how many violations of one rule are reported.
const maxViolationsPerRule = 10

// report adds a violation.
func (e *evidence) report(rule, form string, arguments ...any) {
	count := 0
	for _, b := range e.violations {
		if b.Rule == rule {
			count++
		}
	}
	if count < maxViolationsPerRule {
		e.violations = append(e.violations, Violation{Rule: rule, Text: fmt.Sprintf(form, arguments...)})
	}
}

// evidence collects what has been observed so far.
func (f *Fleet) evidence(load *Load) *evidence {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e := &evidence{
		bounds: f.options.Bounds, attempts: load.Attempts.All(), arrivals: f.ArrivalLog.Arrivals(), modelOrders: f.ArrivalLog.Orders(),
		drains: f.drainedBrokers, crashedBrokers: f.crashedBrokers, isolatedAt: f.isolatedAt, keys: f.keyHistory(),
		logs: map[string]string{},
	}
	for _, acknowledgement := range f.Operator.Acknowledged() {
		if acknowledgement.Model != "" {
			e.ackedWeights = append(e.ackedWeights, acknowledgement)
		}
	}
	e.linkFaults = f.linkFaults.all()
	for _, node := range f.Nodes {
		e.nodeFaults = append(e.nodeFaults, node.Faults()...)
		e.logs[node.Name] = node.Log()
		if node.HasDisk {
			e.core = append(e.core, node.Name)
		}
	}
	e.indexArrivals()
	return e
}

// indexArrivals indexes the arrivals by request ID.
func (e *evidence) indexArrivals() {
	e.arrivalsByRequest = map[string][]int{}
	for i, arrival := range e.arrivals {
		e.arrivalsByRequest[arrival.Request] = append(e.arrivalsByRequest[arrival.Request], i)
	}
}

// Check returns the violations in what clients, brokers and the operator observed. The load must have been stopped.
func (f *Fleet) Check(load *Load) []Violation {
	e := f.evidence(load)
	e.check()
	if lost := f.ArrivalLog.OverflowCount(); lost > 0 {
		e.report("COUNTS", "%d arrivals exceeded the log", lost)
	}
	for _, text := range f.unexpectedExits() {
		e.report("ENDS", "%s", text)
	}
	for _, node := range f.Nodes {
		e.checkLog(node.Name, node.Log())
	}
	return e.violations
}

// crashMarkers in a node's log indicate a crash or a data race.
var crashMarkers = []string{"DATA RACE", "panic:", "panic serving", "fatal error:"}

// checkLog searches a node's log for crashes.
func (e *evidence) checkLog(node, log string) {
	for _, marker := range crashMarkers {
		if position := strings.Index(log, marker); position >= 0 {
			e.report("LOG", "%s:\n%s", node, firstLines(log[position:], 40))
		}
	}
}

// firstLines is the first count lines.
func firstLines(text string, count int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[:min(len(lines), count)], "\n")
}

// check checks each rule.
func (e *evidence) check() {
	for i := range e.attempts {
		e.checkAnswer(&e.attempts[i])
		e.checkRuns(&e.attempts[i])
	}
	e.checkUnrequested()
	e.checkDraining()
	e.checkCallsOff()
	e.checkWeights()
	e.checkSalts()
	e.checkIsolation()
	e.checkOrders()
	e.checkBudget()
}

// runs returns the arrivals of an attempt that ran.
func (e *evidence) runs(id string) []*llmbroker.Arrival {
	var runs []*llmbroker.Arrival
	for _, i := range e.arrivalsByRequest[id] {
		if e.arrivals[i].Ran() {
			runs = append(runs, &e.arrivals[i])
		}
	}
	return runs
}

// duplicated reports whether an attempt that may run at most once has run more often.
func (e *evidence) duplicated(r *Attempt) bool { return !r.idempotent() && len(e.runs(r.ID)) > 1 }

// lost reports whether an attempt that a node had read got no complete answer, though neither the node, its links nor the broker
// failed.
func (e *evidence) lost(r *Attempt) bool {
	return r.Outcome == ConnectionClosed && !e.brokerCrashed(r) && !e.nodeFailed(r) && !e.linkFailed(r) && e.wasRead(r)
}

// wasRead reports whether the node read the attempt: it was forwarded to a broker, or its connection lasted longer than the slack.
func (e *evidence) wasRead(r *Attempt) bool {
	return len(e.arrivalsByRequest[r.ID]) > 0 || r.EndedAt.Sub(r.SentAt) > e.bounds.LossSlack
}

// nodeFailed reports whether the node of the attempt was killed or frozen during it.
func (e *evidence) nodeFailed(r *Attempt) bool {
	for _, fault := range e.nodeFaults {
		ended := !fault.EndedAt.IsZero() && fault.EndedAt.Before(r.FirstAttemptAt)
		if fault.Node == r.Node && fault.Kind != Stopped && !ended && !fault.StartedAt.After(r.EndedAt) {
			return true
		}
	}
	return false
}

// brokerCrashed reports whether a broker crashed while it ran the attempt.
func (e *evidence) brokerCrashed(r *Attempt) bool {
	for _, run := range e.runs(r.ID) {
		if run.Disposition != llmbroker.Finished && slices.Contains(e.crashedBrokers, run.Instance) {
			return true
		}
	}
	return false
}

// checkAnswer checks that an attempt was not lost, and its answer is as it must be.
func (e *evidence) checkAnswer(r *Attempt) {
	if r.Defect != "" {
		e.report("ANSWER", "%s (request %s on %s at %s)", r.Defect, r.ID, r.Prefix, r.Node)
	}
	if e.lost(r) {
		e.report("LOST", "request %s on %s at %s, sent %s, closed %v later without a complete answer (status %d, connection reused %v, at brokers: %s, logged: %s)",
			r.ID, r.Prefix, r.Node, formatTime(r.SentAt), r.EndedAt.Sub(r.SentAt).Round(time.Millisecond), r.Status, r.KeptAlive, e.describeArrivals(r.ID),
			e.loggedAbout(r))
	}
}

// loggedAbout returns the lines in the log of an attempt's node that name it: why an answer was broken off.
func (e *evidence) loggedAbout(r *Attempt) string {
	var lines []string
	for line := range strings.Lines(e.logs[r.Node]) {
		if strings.Contains(line, r.ID) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	if len(lines) == 0 {
		return "nothing"
	}
	return strings.Join(lines, "; ")
}

// describeArrivals says what brokers did with an attempt.
func (e *evidence) describeArrivals(id string) string {
	var described []string
	for _, index := range e.arrivalsByRequest[id] {
		arrival := &e.arrivals[index]
		described = append(described, fmt.Sprintf("%s received it at %s, disposition %d, status %d, ended at %s",
			arrival.Instance, formatTime(arrival.ReceivedAt), arrival.Disposition, arrival.Status, formatTime(arrival.EndedAt)))
	}
	if len(described) == 0 {
		return "none received it"
	}
	return strings.Join(described, "; ")
}

// checkRuns checks how often an attempt ran, and each run.
func (e *evidence) checkRuns(r *Attempt) {
	runs := e.runs(r.ID)
	if e.duplicated(r) {
		e.report("TWICE", "request %s on %s ran %d times", r.ID, r.Prefix, len(runs))
	}
	if r.Outcome == Rejected && len(runs) > 0 && !r.idempotent() {
		e.report("REFUSED", "request %s on %s was answered with %d, and has run", r.ID, r.Prefix, r.Status)
	}
	if allowed := route(r.Prefix).MaxAttempts; len(runs) > allowed {
		e.report("BUDGET", "request %s on %s ran %d times, %d are allowed", r.ID, r.Prefix, len(runs), allowed)
	}
	for _, run := range runs {
		e.checkRun(r, run)
	}
}

// checkRun compares a run with the request of the client.
func (e *evidence) checkRun(r *Attempt, run *llmbroker.Arrival) {
	if run.Method != r.Method || run.URI != r.URI {
		e.report("UNASKED", "request %s: %s %s was sent, %s %s has run", r.ID, r.Method, r.URI, run.Method, run.URI)
	}
	e.checkKey(r, run)
	if service := route(r.Prefix).Service; run.Service != service {
		e.report("ROUTE", "request %s on %s has run at service %s", r.ID, r.Prefix, run.Service)
	}
}

// checkUnrequested checks that each run belongs to a request of a client.
func (e *evidence) checkUnrequested() {
	requested := map[string]bool{}
	for _, r := range e.attempts {
		requested[r.ID] = true
	}
	for _, arrival := range e.arrivals {
		if arrival.Ran() && !requested[arrival.Request] {
			e.report("UNASKED", "request %q, which no client sent, has run at %s", arrival.Request, arrival.Instance)
		}
	}
}

// checkDraining checks that no request of a machine in touch reaches a broker later than the bound after its drain was acknowledged.
// What a link or a machine held up that was disturbed in the last bound on contact doesn't count (RULES.md, "Held up").
func (e *evidence) checkDraining() {
	nodes := map[string]string{} // by request
	for i := range e.attempts {
		nodes[e.attempts[i].ID] = e.attempts[i].Node
	}
	for _, drain := range e.drains {
		until := drain.ackedAt.Add(e.bounds.Drain)
		for _, arrival := range e.arrivals {
			rejected := arrival.Disposition == llmbroker.Rejected && arrival.Status == 421
			late := arrival.Instance == drain.instance && arrival.ReceivedAt.After(until) && !rejected
			if late && !e.disturbed(nodes[arrival.Request], arrival.ReceivedAt.Add(-e.bounds.Contact), arrival.ReceivedAt) {
				e.report("DRAIN", "request %s reached %s by %s %v after its draining was acknowledged",
					arrival.Request, drain.instance, nodes[arrival.Request], arrival.ReceivedAt.Sub(drain.ackedAt).Round(time.Millisecond))
			}
		}
	}
}

// checkBudget checks that the retries of each service, that is arrivals beyond the first of each request, stay within the retry budget
// in any window.
func (e *evidence) checkBudget() {
	for _, service := range []string{serviceModel, servicePlain, serviceSlow} {
		e.checkBudgetOf(service)
	}
}

// checkBudgetOf checks the windows that start with a retry. Nodes may count the requests of a window up to one window earlier.
func (e *evidence) checkBudgetOf(service string) {
	window := e.bounds.BudgetWindow
	requests, retries := e.requestTimes(service)
	for _, start := range retries {
		end := start.Add(window)
		requestCount := max(
			countWithin(requests, start, end),
			countWithin(requests, start.Add(-window), start),
			countWithin(requests, start.Add(-window/2), end.Add(-window/2)),
		)
		retryCount := countWithin(retries, start, end)
		if float64(retryCount) > e.bounds.RetryBudgetRatio*float64(requestCount)+e.bounds.RetryBudgetSlack {
			e.report("BUDGET", "%d arrivals beyond the first at %s in %v, for %d requests", retryCount, service, window, requestCount)
			break
		}
	}
}

// requestTimes are the sorted times at which clients sent requests to a service, and at which retries arrived there.
func (e *evidence) requestTimes(service string) (requests, retries []time.Time) {
	for i := range e.attempts {
		attempt := &e.attempts[i]
		if attempt.SentAt.IsZero() || route(attempt.Prefix).Service != service {
			continue
		}
		requests = append(requests, attempt.SentAt)
		arrivals := e.arrivalsByRequest[attempt.ID]
		for _, index := range arrivals[min(1, len(arrivals)):] {
			retries = append(retries, e.arrivals[index].ReceivedAt)
		}
	}
	slices.SortFunc(requests, time.Time.Compare)
	slices.SortFunc(retries, time.Time.Compare)
	return requests, retries
}

// countWithin counts the sorted times in [start, end).
func countWithin(times []time.Time, start, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
	return last - first
}

// formatTime is the time of day with milliseconds.
func formatTime(at time.Time) string { return at.Format("15:04:05.000") }
