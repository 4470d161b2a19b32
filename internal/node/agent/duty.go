package agent

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/rollout"
	"kestrelspread/internal/node/rollout/orders"
)

// buildDuty makes what sends the orders of the duty to bring new weights.
func (a *Agent) buildDuty() {
	a.orders = orders.New(orders.Options{
		Clock: a.now,
		OrderDone: func(token uint64, status int, err error) {
			a.post(func(now core.Time) { a.carryOut(now, a.control.OrderDone(now, token, status, err)) })
		},
		ReportDone: func(token uint64, report *rollout.Report, err error) {
			a.post(func(now core.Time) { a.carryOut(now, a.control.ReportDone(now, token, report, err)) })
		},
	})
}

// carryOutDuty sends what the duty asks for to brokers.
func (a *Agent) carryOutDuty(output core.Output) {
	switch output := output.(type) {
	case core.SendOrder:
		a.orders.SendOrder(output, a.mayOrder)
	case core.FetchReport:
		a.orders.FetchReport(output)
	default:
		a.log.Error("unknown output")
	}
}

// mayOrder is asked right before an order's first byte is written.
func (a *Agent) mayOrder(order core.SendOrder) bool {
	return !a.stopping.Load() && a.now() < order.ValidUntil
}
