package agent

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/rollout"
	"kestrelspread/internal/node/rollout/orders"
)

// buildOrderSender makes what sends the orders of the duty to bring new weights.
func (a *Agent) buildOrderSender() {
	a.orders = orders.New(orders.Options{
		Clock: a.now,
		Ordered: func(token uint64, status int, err error) {
			a.post(func(now core.Time) { a.execute(now, a.control.OrderDone(now, token, status, err)) })
		},
		Reported: func(token uint64, report *rollout.Report, err error) {
			a.post(func(now core.Time) { a.execute(now, a.control.ReportDone(now, token, report, err)) })
		},
	})
}

// executeOrder sends what the duty asks for to brokers.
func (a *Agent) executeOrder(output core.Output) {
	switch output := output.(type) {
	case core.Order:
		a.orders.Order(output, a.mayOrder)
	case core.AskReport:
		a.orders.AskReport(output)
	default:
		a.log.Error("unknown output")
	}
}

// mayOrder is asked right before an order's first byte is written.
func (a *Agent) mayOrder(order core.Order) bool {
	return !a.stopping.Load() && a.now() < order.ValidUntil
}
