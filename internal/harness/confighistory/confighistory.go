// Package confighistory checks that a history of changes and reads of the configuration is linearizable: that each can have taken
// effect at one moment between its call and its return, one after another. It keeps what callers observed and knows nothing of
// nodes; runs under a virtual clock (faultrun) and of real processes (processfaults) use the same model.
//
// The package is pure. Times count from the start of the run.
package confighistory

import (
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"
)

// Document identifies a configuration: its version, and the order that made it.
type Document struct {
	Version uint64
	OrderID string
}

// Change is an order to replace the configuration of a base version by that of a higher one.
type Change struct {
	OrderID     string
	BaseVersion uint64
	Version     uint64
	CalledAt    time.Duration
	ReturnedAt  time.Duration // meaningless where Status is 0
	Status      int           // HTTP status of the definite answer; 0: none came, the change may have taken effect at any time, or never
}

// Read is a read of the configuration that was answered.
type Read struct {
	Document   Document
	CalledAt   time.Duration
	ReturnedAt time.Duration
}

// Verdict is the result of a check.
type Verdict uint8

// The verdicts.
const (
	Linearizable Verdict = iota
	NotLinearizable
	Undecided // the search took longer than its timeout
)

// History is a set of operations. It is not safe for concurrent use.
type History struct {
	operations []porcupine.Operation
}

// openEnd is how long after the last return a change without an answer may take effect.
const openEnd = time.Hour

// AddChange adds a change.
func (h *History) AddChange(c Change) {
	h.add(c.CalledAt, c.ReturnedAt, change{c.OrderID, c.BaseVersion, c.Version}, result{status: c.Status})
}

// AddRead adds a read.
func (h *History) AddRead(r Read) {
	h.add(r.CalledAt, r.ReturnedAt, change{}, result{read: r.Document})
}

// Len is the number of operations.
func (h *History) Len() int { return len(h.operations) }

func (h *History) add(calledAt, returnedAt time.Duration, input change, output result) {
	h.operations = append(h.operations, porcupine.Operation{
		// Operations without an answer overlap what their client did next, so each is a client of its own.
		ClientId: len(h.operations), Call: int64(calledAt), Return: int64(returnedAt), Input: input, Output: output,
	})
}

// Check searches an order of the operations for at most the timeout.
func (h *History) Check(timeout time.Duration) Verdict {
	operations := make([]porcupine.Operation, len(h.operations))
	copy(operations, h.operations)
	end := int64(0)
	for _, operation := range operations {
		end = max(end, operation.Call, operation.Return)
	}
	for i := range operations {
		if isOpen(operations[i]) {
			operations[i].Return = end + int64(openEnd)
		}
	}
	switch porcupine.CheckOperationsTimeout(model.ToModel(), operations, timeout) {
	case porcupine.Ok:
		return Linearizable
	case porcupine.Illegal:
		return NotLinearizable
	default:
		return Undecided
	}
}

// isOpen reports whether the operation is a change without a definite answer.
func isOpen(operation porcupine.Operation) bool {
	return operation.Input.(change).orderID != "" && operation.Output.(result).status == 0
}

// change is the input of a change or, without an order ID, of a read.
type change struct {
	orderID     string
	baseVersion uint64
	version     uint64
}

// result is the output of an operation.
type result struct {
	status int // of a change; 0: unknown
	read   Document
}

// model is the sequential specification: the newest version, and the order that made it.
var model = &porcupine.NondeterministicModel{
	Init:  func() []any { return []any{Document{}} },
	Step:  step,
	Equal: func(a, b any) bool { return a == b },
}

// step lists the states that may follow one; none: the output is impossible there.
func step(state, input, output any) []any {
	current, call, observed := state.(Document), input.(change), output.(result)
	if call.orderID == "" {
		if observed.read == current {
			return []any{current}
		}
		return nil
	}
	next := Document{Version: call.version, OrderID: call.orderID}
	matches := call.baseVersion == current.Version && call.version > call.baseVersion
	switch {
	case observed.status == http.StatusOK && matches:
		return []any{next}
	case observed.status == http.StatusOK:
		return nil
	case observed.status == 0 && matches:
		return []any{current, next}
	case observed.status == http.StatusPreconditionFailed && call.baseVersion == current.Version:
		return nil
	default:
		return []any{current}
	}
}
