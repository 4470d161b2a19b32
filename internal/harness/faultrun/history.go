package faultrun

import (
	"time"

	"kestrelspread/internal/harness/confighistory"
)

// history records the calls of operators and their results: changes that build on a version, and reads.
type history struct {
	answered   confighistory.History
	openOrders []*operatorOrder // without a definite answer, in the order of their calls
}

// recordCall records that an order is submitted.
func (h *history) recordCall(sent *operatorOrder) { h.openOrders = append(h.openOrders, sent) }

// recordReturn records the end of an order. One without a definite answer may take effect later, and stays open.
func (h *history) recordReturn(sent *operatorOrder) {
	if sent.status == 0 {
		return
	}
	sent.recorded = true
	h.answered.AddChange(sent.change(sent.status))
}

// change is the order with the status of its answer; 0: none.
func (sent *operatorOrder) change(status int) confighistory.Change {
	return confighistory.Change{
		OrderID: sent.id, BaseVersion: sent.baseVersion, Version: sent.version,
		CalledAt: sent.sentAt, ReturnedAt: sent.endedAt, Status: status,
	}
}

// recordRead adds a read that was answered.
func (h *history) recordRead(called, returned time.Duration, read configDocument) {
	h.answered.AddRead(confighistory.Read{
		Document: confighistory.Document{Version: read.Version, OrderID: read.OrderID}, CalledAt: called, ReturnedAt: returned,
	})
}

// historyTimeout bounds the search for an order of the operations.
const historyTimeout = 20 * time.Second

// check checks that the operations can have taken effect one after another, those without an answer included.
func (h *history) check() confighistory.Verdict {
	for _, sent := range h.openOrders {
		if !sent.recorded {
			h.answered.AddChange(sent.change(0))
		}
	}
	h.openOrders = nil
	return h.answered.Check(historyTimeout)
}
