package faultrun

import (
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"
)

// history is what operators did and saw: changes that build on a version, and reads.
type history struct {
	operations []porcupine.Operation
	open       map[*order]bool
}

// change is a change or, without id, a read.
type change struct {
	id      string
	base    uint64
	version uint64
}

// outcome is what became of it.
type outcome struct {
	status int // of a change; 0: no clear answer
	read   document
}

func (h *history) begin(sent *order) {
	if h.open == nil {
		h.open = map[*order]bool{}
	}
	h.open[sent] = true
}

func (h *history) end(sent *order) {
	if sent.status == 0 {
		return // it may come through later: closed at the end of the run
	}
	delete(h.open, sent)
	h.add(sent, sent.endedAt)
}

func (h *history) add(sent *order, returned time.Duration) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: sent.operator, Call: int64(sent.sentAt), Return: int64(returned),
		Input:  change{id: sent.id, base: sent.base, version: sent.version},
		Output: outcome{status: sent.status},
	})
}

func (h *history) read(client int, called, returned time.Duration, read document) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Call: int64(called), Return: int64(returned), Input: change{}, Output: outcome{read: read},
	})
}

// historyTimeout bounds the search for an order of the operations.
const historyTimeout = 20 * time.Second

// linearizable reports whether the operations can have happened one after another, each between its call and its return.
func (h *history) linearizable(now time.Duration) porcupine.CheckResult {
	for sent := range h.open {
		sent.status = 0
		h.add(sent, now+time.Hour)
	}
	h.open = nil
	// Operations without an answer overlap what their client did next.
	for i := range h.operations {
		h.operations[i].ClientId = i
	}
	return porcupine.CheckOperationsTimeout(configurations.ToModel(), h.operations, historyTimeout)
}

// configurations is the control state as operators see it: the newest version and whose it is.
var configurations = &porcupine.NondeterministicModel{
	Init: func() []any { return []any{document{}} },
	Step: func(state, input, output any) []any {
		current, asked, seen := state.(document), input.(change), output.(outcome)
		if asked.id == "" {
			if seen.read == current {
				return []any{current}
			}
			return nil
		}
		next := document{Version: asked.version, Note: asked.id}
		fits := asked.base == current.Version && asked.version > asked.base
		switch {
		case seen.status == http.StatusOK && fits:
			return []any{next}
		case seen.status == http.StatusOK:
			return nil
		case seen.status == 0 && fits:
			return []any{current, next}
		case seen.status == http.StatusPreconditionFailed && asked.base == current.Version:
			return nil
		default:
			return []any{current}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}
