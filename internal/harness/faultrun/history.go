package faultrun

import (
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"
)

// history records the calls of operators and their results: changes that build on a version, and reads.
type history struct {
	operations []porcupine.Operation
	openOrders map[*operatorOrder]bool // without a definite answer
}

// operation is the input of a change or, without an order ID, of a read.
type operation struct {
	orderID     string
	baseVersion uint64
	version     uint64
}

// operationResult is the output of an operation.
type operationResult struct {
	status int // of a change; 0: unknown
	read   configDocument
}

// recordCall records that an order is submitted.
func (h *history) recordCall(sent *operatorOrder) {
	if h.openOrders == nil {
		h.openOrders = map[*operatorOrder]bool{}
	}
	h.openOrders[sent] = true
}

// recordReturn records the end of an order.
func (h *history) recordReturn(sent *operatorOrder) {
	if sent.status == 0 {
		return // it may take effect later, and stays open to the end of the run
	}
	delete(h.openOrders, sent)
	h.appendOrder(sent, sent.endedAt)
}

// appendOrder adds an order that returned at a moment.
func (h *history) appendOrder(sent *operatorOrder, returned time.Duration) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: sent.operator, Call: int64(sent.sentAt), Return: int64(returned),
		Input:  operation{orderID: sent.id, baseVersion: sent.baseVersion, version: sent.version},
		Output: operationResult{status: sent.status},
	})
}

// recordRead adds a read that was answered.
func (h *history) recordRead(client int, called, returned time.Duration, read configDocument) {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Call: int64(called), Return: int64(returned), Input: operation{}, Output: operationResult{read: read},
	})
}

// historyTimeout bounds the search for an order of the operations.
const historyTimeout = 20 * time.Second

// linearizable checks that the operations can have taken effect one after another, each between its call and its return. Orders
// without an answer may have taken effect at any time after their call, or never.
func (h *history) linearizable(now time.Duration) porcupine.CheckResult {
	for sent := range h.openOrders {
		sent.status = 0
		h.appendOrder(sent, now+time.Hour)
	}
	h.openOrders = nil
	// Operations without an answer overlap what their client did next.
	for i := range h.operations {
		h.operations[i].ClientId = i
	}
	return porcupine.CheckOperationsTimeout(configurationModel.ToModel(), h.operations, historyTimeout)
}

// configurationModel is the sequential specification of the control state: the newest version, and the order that made it.
var configurationModel = &porcupine.NondeterministicModel{
	Init: func() []any { return []any{configDocument{}} },
	Step: func(state, input, output any) []any {
		current, call, result := state.(configDocument), input.(operation), output.(operationResult)
		if call.orderID == "" {
			if result.read == current {
				return []any{current}
			}
			return nil
		}
		next := configDocument{Version: call.version, OrderID: call.orderID}
		matches := call.baseVersion == current.Version && call.version > call.baseVersion
		switch {
		case result.status == http.StatusOK && matches:
			return []any{next}
		case result.status == http.StatusOK:
			return nil
		case result.status == 0 && matches:
			return []any{current, next}
		case result.status == http.StatusPreconditionFailed && call.baseVersion == current.Version:
			return nil
		default:
			return []any{current}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}
