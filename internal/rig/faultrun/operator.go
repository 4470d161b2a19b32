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
	callTimeout  = time.Second // an operator waits so long for an answer
	callPause    = 120 * time.Millisecond
	mostAttempts = 25
	givenUp      = 30 * time.Second
)

// order is one change of an operator, with all attempts to bring it.
type order struct {
	operator  int
	id        string
	command   *nodepb.Command
	base      uint64
	version   uint64
	sentAt    time.Duration
	attempts  int
	over      bool // it has a clear answer, or was given up
	status    int  // that answer; 0: none
	endedAt   time.Duration
	reachedAt string // the machine that answered
}

// operator sends changes and reads, one after another, through machines that it picks by chance. One without a clear answer is
// sent again as it was, to another machine.
type operator struct {
	world   *World
	number  int
	pause   time.Duration
	count   int
	known   uint64 // version
	current *order
	stopped bool
	acked   int
	reads   int
}

func (w *World) startOperator(number int) {
	o := &operator{world: w, number: number, pause: w.plan.Pause * time.Duration(1+number)}
	w.operators = append(w.operators, o)
	w.after(600*time.Millisecond+time.Duration(number)*3*time.Second, o.next)
}

func (o *operator) again() {
	o.world.after(time.Duration(o.world.random.Int64N(int64(2*o.pause)+1)), o.next)
}

func (o *operator) next() {
	switch w := o.world; {
	case o.stopped:
	case o.known > 0 && w.random.IntN(4) == 0:
		o.read()
	default:
		o.change()
	}
}

// pick is a machine to call: the list of these lags, so that it may be gone.
func (w *World) pick() *machine {
	for {
		m := w.machines[w.random.IntN(len(w.machines))]
		if m.running || w.random.IntN(8) == 0 {
			return m
		}
	}
}

func (o *operator) change() {
	o.count++
	w := o.world
	version := o.known + 1 + uint64(w.random.IntN(3))
	if w.random.IntN(25) == 0 {
		version = max(o.known, 1)
	}
	id := fmt.Sprintf("o%d-%d", o.number, o.count)
	body := w.updateBody(version, id)
	if o.known == 0 {
		body = w.wholeBody(version, id)
	}
	change := &nodepb.ConfigChange{Replace: o.known == 0, BaseVersion: o.known, Body: []byte(body)}
	o.current = &order{
		operator: o.number, id: id, base: o.known, version: version, sentAt: w.now,
		command: &nodepb.Command{Id: id, Change: &nodepb.Command_ConfigChange{ConfigChange: change}},
	}
	w.history.begin(o.current)
	o.attempt(o.current)
}

// wholeBody is a configuration, of a size by the plan.
func (w *World) wholeBody(version uint64, id string) string {
	return fmt.Sprintf(`{"version":%d,"note":%q,"pad":%q,"routes":[{"name":"r","host":"a","pathPrefix":"/","timeoutMs":1000,"service":"s"}],`+
		`"services":[{"name":"s","engine":{"slots":4,"models":[{"name":"m0"}]}}],"tenants":[{"name":"t","apiKeys":["k-%s"]}]}`,
		version, id, strings.Repeat("x", w.plan.Padding), id)
}

func (w *World) updateBody(version uint64, id string) string {
	return fmt.Sprintf(`{"version":%d,"note":%q,"pad":%q,"upsert":{"tenants":[{"name":"t","apiKeys":["k-%s"]}]}}`,
		version, id, strings.Repeat("x", w.random.IntN(w.plan.Padding+1)), id)
}

// attempt sends the order to a machine, and to the next one where no clear answer comes in time.
func (o *operator) attempt(sent *order) {
	w := o.world
	if sent.over {
		return
	}
	sent.attempts++
	if sent.attempts > mostAttempts && w.now-sent.sentAt > givenUp {
		o.end(sent, 0, "")
		return
	}
	m := w.pick()
	w.logf("%s goes to %s", sent.id, m.name)
	number, moved := sent.attempts, false
	goOn := func(after time.Duration) {
		if !moved && sent.attempts == number {
			moved = true
			w.after(after, func() { o.attempt(sent) })
		}
	}
	w.after(callTimeout, func() { goOn(0) })
	w.callMachine(m, func() { goOn(callPause) }, func(request uint64) func(core.Time) {
		m.replies[request] = func(reply core.Reply) {
			status := statusOf(reply.Result)
			w.logf("%s answers %d to %s: %s", m.name, status, sent.id, reply.Result.GetText())
			w.checks.answered(m, sent, status)
			w.answer(m, func() {
				if status == http.StatusServiceUnavailable {
					goOn(callPause)
					return
				}
				o.end(sent, status, m.name)
			})
		}
		return func(now core.Time) { m.carryOut(m.node.Submit(now, request, sent.command)) }
	})
}

// callMachine brings a call to a machine's API; refused runs where nobody listens there.
func (w *World) callMachine(m *machine, refused func(), call func(request uint64) func(core.Time)) {
	life := m.life
	w.after(w.network.transit(), func() {
		if !m.running || m.life != life {
			refused()
			return
		}
		if w.random.Float64() < w.plan.CallLoss {
			refused() // reset on its way
			return
		}
		m.requests++
		m.input(call(m.requests))
	})
}

// answer brings an answer to its caller, unless it is lost or the machine goes as it leaves.
func (w *World) answer(_ *machine, arrived func()) {
	if w.random.Float64() < w.checks.answerLoss {
		return
	}
	w.after(w.network.transit(), arrived)
}

// statusOf is the HTTP status of a result, as package controlapi words it.
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

// end takes the clear answer to an order; status 0: it was given up without one.
func (o *operator) end(sent *order, status int, by string) {
	w := o.world
	if sent.over {
		return
	}
	sent.over, sent.status, sent.endedAt, sent.reachedAt = true, status, w.now, by
	w.history.end(sent)
	switch status {
	case http.StatusOK:
		o.known = sent.version
		o.acked++
		w.checks.acknowledged(sent)
		if w.random.IntN(10) == 0 {
			w.repeat(sent)
		}
	case 0:
		o.read()
		return
	default:
		o.read() // another version is in place
		return
	}
	o.again()
}

// repeat sends an acknowledged order once more, a while later.
func (w *World) repeat(sent *order) {
	w.after(time.Duration(w.random.Int64N(int64(3*time.Second))), func() {
		m := w.pick()
		w.callMachine(m, func() {}, func(request uint64) func(core.Time) {
			m.replies[request] = func(reply core.Reply) {
				if status := statusOf(reply.Result); status/100 == 4 {
					w.fail("%s answers %d to %s, which was acknowledged before", m.name, status, sent.id)
				}
			}
			return func(now core.Time) { m.carryOut(m.node.Submit(now, request, sent.command)) }
		})
	})
}

// document is what a configuration that was read back holds.
type document struct {
	Version uint64 `json:"version"`
	Note    string `json:"note"`
}

// read asks machines for the configuration until one answers.
func (o *operator) read() {
	w := o.world
	o.count++
	count, sentAt := o.count, w.now
	floor := w.checks.newestAcked()
	m := w.pick()
	goOn := func(after time.Duration) {
		if o.count == count {
			o.count++
			w.after(after, o.read)
		}
	}
	w.after(callTimeout, func() { goOn(0) })
	w.callMachine(m, func() { goOn(callPause) }, func(request uint64) func(core.Time) {
		m.replies[request] = func(reply core.Reply) {
			read, ok := w.checks.readBack(m, reply, floor, sentAt)
			w.answer(m, func() {
				switch {
				case !ok:
					goOn(callPause)
				case o.count == count:
					o.count++
					o.known = read.Version
					o.reads++
					w.history.read(o.number, sentAt, w.now, read)
					o.again()
				}
			})
		}
		return func(now core.Time) { m.carryOut(m.node.Read(now, request)) }
	})
}

// documentOf reads what a state holds; false: no configuration was taken.
func documentOf(state []byte) (document, bool, error) {
	body, err := config.FetchFromSnapshot(state)
	if err != nil || len(body) == 0 {
		return document{}, false, err
	}
	var read document
	err = json.Unmarshal(body, &read)
	return read, true, err
}

// noChecker checks no schema: configurations of these runs keep it.
type noChecker struct{}

// CheckItems finds nothing wrong.
func (noChecker) CheckItems([]config.SchemaItem) error { return nil }
