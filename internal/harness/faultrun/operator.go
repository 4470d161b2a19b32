package faultrun

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	callTimeout  = time.Second // for an answer, before the next attempt
	retryBackoff = 120 * time.Millisecond
	maxAttempts  = 25
	giveUpAfter  = 30 * time.Second // together with maxAttempts
)

// operatorOrder is one change of an operator, with all attempts to submit it.
type operatorOrder struct {
	operator    int
	id          string
	command     *nodepb.Command
	baseVersion uint64
	version     uint64
	sentAt      time.Duration
	attempts    int
	finished    bool // it has a definite answer, or was given up
	status      int  // of the answer; 0: none
	endedAt     time.Duration
	answeredBy  string // the machine that answered
	recorded    bool   // in the history, with its answer
}

// operator submits changes and reads, one after another, to machines that it picks at random. One without a definite answer is
// retried unchanged, at another machine.
type operator struct {
	sim            *simulation
	number         int
	interval       time.Duration
	operationCount int
	knownVersion   uint64 // the newest that it got acknowledged or read
	currentOrder   *operatorOrder
	stopped        bool
	ackedCount     int
	readCount      int
}

// startOperator starts an operator; the second one starts later and is slower.
func (sim *simulation) startOperator(number int) {
	o := &operator{sim: sim, number: number, interval: sim.plan.OperatorInterval * time.Duration(1+number)}
	sim.operators = append(sim.operators, o)
	sim.after(600*time.Millisecond+time.Duration(number)*3*time.Second, o.next)
}

// scheduleNext schedules the next operation after a random interval.
func (o *operator) scheduleNext() {
	o.sim.after(time.Duration(o.sim.random.Int64N(int64(2*o.interval)+1)), o.next)
}

// next starts the next operation.
func (o *operator) next() {
	switch sim := o.sim; {
	case o.stopped:
	case o.knownVersion > 0 && sim.random.IntN(4) == 0:
		o.read()
	default:
		o.submitChange()
	}
}

// pickMachine picks a machine to call. The list of these lags: one that does not run is picked at times.
func (sim *simulation) pickMachine() *machine {
	for {
		m := sim.machines[sim.random.IntN(len(sim.machines))]
		if m.running || sim.random.IntN(8) == 0 {
			return m
		}
	}
}

// submitChange submits a change on the newest version that the operator knows; few have a version that does not rise.
func (o *operator) submitChange() {
	o.operationCount++
	sim := o.sim
	version := o.knownVersion + 1 + uint64(sim.random.IntN(3))
	if sim.random.IntN(25) == 0 {
		version = max(o.knownVersion, 1)
	}
	id := fmt.Sprintf("o%d-%d", o.number, o.operationCount)
	body := sim.updateBody(version, id)
	if o.knownVersion == 0 {
		body = sim.completeBody(version, id)
	}
	change := &nodepb.ConfigChange{Replace: o.knownVersion == 0, BaseVersion: o.knownVersion, Body: []byte(body)}
	o.currentOrder = &operatorOrder{
		operator: o.number, id: id, baseVersion: o.knownVersion, version: version, sentAt: sim.now,
		command: &nodepb.Command{Id: id, Change: &nodepb.Command_ConfigChange{ConfigChange: change}},
	}
	sim.history.recordCall(o.currentOrder)
	o.attempt(o.currentOrder)
}

// completeBody is a complete configuration, padded by the plan.
func (sim *simulation) completeBody(version uint64, id string) string {
	return fmt.Sprintf(`{"version":%d,"note":%q,"pad":%q,"routes":[{"name":"r","host":"a","pathPrefix":"/","timeoutMs":1000,"service":"s"}],`+
		`"services":[{"name":"s","engine":{"slots":4,"models":[{"name":"m0"}]}}],"tenants":[{"name":"t","apiKeys":["k-%s"]}]}`,
		version, id, strings.Repeat("x", sim.plan.MaxPadding), id)
}

// updateBody is a change of a configuration, of random size.
func (sim *simulation) updateBody(version uint64, id string) string {
	return fmt.Sprintf(`{"version":%d,"note":%q,"pad":%q,"upsert":{"tenants":[{"name":"t","apiKeys":["k-%s"]}]}}`,
		version, id, strings.Repeat("x", sim.random.IntN(sim.plan.MaxPadding+1)), id)
}

// attempt submits the order to a machine, and to another one if no definite answer arrives in time.
func (o *operator) attempt(sent *operatorOrder) {
	sim := o.sim
	if sent.finished {
		return
	}
	sent.attempts++
	if sent.attempts > maxAttempts && sim.now-sent.sentAt > giveUpAfter {
		o.finish(sent, 0, "")
		return
	}
	m := sim.pickMachine()
	sim.logf("%s sent to %s", sent.id, m.name)
	number, retried := sent.attempts, false
	retry := func(delay time.Duration) {
		if !retried && sent.attempts == number {
			retried = true
			sim.after(delay, func() { o.attempt(sent) })
		}
	}
	sim.after(callTimeout, func() { retry(0) })
	sim.callMachine(m, func() { retry(retryBackoff) }, func(request uint64) func(core.Time) {
		arrivedAt := sim.now
		m.pendingReplies[request] = func(reply core.Reply) {
			status := statusOf(reply.Result)
			sim.logf("%s answers %d to %s: %s", m.name, status, sent.id, reply.Result.GetText())
			sim.checks.answered(m, sent, status)
			if status == http.StatusServiceUnavailable {
				sim.checks.notAcknowledged(m, sent, arrivedAt)
			}
			sim.deliverAnswer(func() {
				if status == http.StatusServiceUnavailable {
					retry(retryBackoff)
					return
				}
				o.finish(sent, status, m.name)
			})
		}
		return func(now core.Time) { m.execute(m.node.Submit(now, request, sent.command)) }
	})
}

// callMachine calls the API of a machine; refused runs where the connection is refused or reset.
func (sim *simulation) callMachine(m *machine, refused func(), call func(request uint64) func(core.Time)) {
	incarnation := m.incarnation
	sim.after(sim.network.transitTime(), func() {
		if !m.running || m.incarnation != incarnation {
			refused()
			return
		}
		if sim.random.Float64() < sim.plan.CallLossRate {
			refused() // reset in transit
			return
		}
		m.lastRequest++
		m.step(call(m.lastRequest))
	})
}

// deliverAnswer sends an answer to its caller, unless it is lost.
func (sim *simulation) deliverAnswer(arrived func()) {
	if sim.random.Float64() < sim.checks.answerLossRate {
		return
	}
	sim.after(sim.network.transitTime(), arrived)
}

// statusOf is the HTTP status of a result, as in package controlapi.
func statusOf(result *nodepb.CommandResult) int {
	switch result.GetCode() {
	case nodepb.ResultCode_TAKEN:
		return http.StatusOK
	case nodepb.ResultCode_CONFLICT:
		return http.StatusPreconditionFailed
	case nodepb.ResultCode_INVALID:
		return http.StatusBadRequest
	case nodepb.ResultCode_TOO_LARGE:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// finish ends an order with its definite answer; status 0: it was given up without one. The operator then reads the newest version,
// unless its own was acknowledged.
func (o *operator) finish(sent *operatorOrder, status int, answeredBy string) {
	sim := o.sim
	if sent.finished {
		return
	}
	sent.finished = true
	sent.status = status
	sent.endedAt = sim.now
	sent.answeredBy = answeredBy
	sim.history.recordReturn(sent)
	if status != http.StatusOK {
		o.read()
		return
	}
	o.knownVersion = sent.version
	o.ackedCount++
	sim.checks.acknowledged(sent)
	if sim.random.IntN(10) == 0 {
		sim.resubmit(sent)
	}
	o.scheduleNext()
}

// resubmit submits an acknowledged order once more, a while later: it must not be rejected.
func (sim *simulation) resubmit(sent *operatorOrder) {
	sim.after(time.Duration(sim.random.Int64N(int64(3*time.Second))), func() {
		m := sim.pickMachine()
		sim.callMachine(m, func() {}, func(request uint64) func(core.Time) {
			m.pendingReplies[request] = func(reply core.Reply) {
				if status := statusOf(reply.Result); status/100 == 4 {
					sim.fail("%s answers %d to %s, which was acknowledged before", m.name, status, sent.id)
				}
			}
			return func(now core.Time) { m.execute(m.node.Submit(now, request, sent.command)) }
		})
	})
}

// configDocument is the part of a configuration that the checks compare.
type configDocument struct {
	Version uint64 `json:"version"`
	OrderID string `json:"note"`
}

// read reads the configuration, with retries until a machine answers.
func (o *operator) read() {
	sim := o.sim
	o.operationCount++
	count, sentAt := o.operationCount, sim.now
	minVersion := sim.checks.newestAcked()
	m := sim.pickMachine()
	retry := func(delay time.Duration) {
		if o.operationCount == count {
			o.operationCount++
			sim.after(delay, o.read)
		}
	}
	sim.after(callTimeout, func() { retry(0) })
	sim.callMachine(m, func() { retry(retryBackoff) }, func(request uint64) func(core.Time) {
		m.pendingReplies[request] = func(reply core.Reply) {
			read, ok := sim.checks.checkRead(m, reply, minVersion)
			sim.deliverAnswer(func() {
				switch {
				case !ok:
					retry(retryBackoff)
				case o.operationCount == count:
					o.operationCount++
					o.knownVersion = read.Version
					o.readCount++
					sim.history.recordRead(sentAt, sim.now, read)
					o.scheduleNext()
				}
			})
		}
		return func(now core.Time) { m.execute(m.node.Read(now, request)) }
	})
}

// decodeDocument decodes the configuration of a snapshot; false: there is none yet.
func decodeDocument(state []byte) (configDocument, bool, error) {
	body, err := config.FetchFromSnapshot(state)
	if err != nil || len(body) == 0 {
		return configDocument{}, false, err
	}
	var read configDocument
	err = json.Unmarshal(body, &read)
	return read, true, err
}

// acceptAllChecker checks no schema: configurations of these runs match it.
type acceptAllChecker struct{}

// CheckItems implements the checker of package control; it accepts all items.
func (acceptAllChecker) CheckItems([]config.SchemaItem) error { return nil }
