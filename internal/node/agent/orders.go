package agent

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/rollout"
	"kestrelspread/internal/node/rollout/orders"
)

// buildOrderSender builds the sender of the rollout's orders to brokers.
func (a *Agent) buildOrderSender() {
	a.orders = orders.New(orders.Options{
		NetworkMap: a.options.NetworkMap,
		Clock:      a.now,
		OrderDone: func(token uint64, status int, err error) {
			a.post(func(now core.Time) { a.execute(now, a.control.OrderDone(now, token, status, err)) })
		},
		ReportDone: func(token uint64, report *rollout.Report, err error) {
			a.post(func(now core.Time) { a.execute(now, a.control.ReportDone(now, token, report, err)) })
		},
	})
}

// executeOrder sends the rollout's orders and requests for reports to brokers.
func (a *Agent) executeOrder(output core.Output) {
	switch output := output.(type) {
	case core.SendOrder:
		a.orders.SendOrder(output, a.mayOrder)
	case core.FetchReport:
		a.orders.FetchReport(output)
	default:
		a.log.Error("agent: unknown output of a state machine")
	}
}

// mayOrder reports whether an order may still be sent. The sender asks right before it writes the
// order's first byte, so that no order leaves after its lease.
func (a *Agent) mayOrder(order core.SendOrder) bool {
	return !a.stopping.Load() && a.now() < order.ValidUntil
}
