package agent

import (
	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout"
	"kestrelspread/internal/node/rollout/orders"
)

// buildDuty makes the duty's state machine and what sends its orders.
func (a *Agent) buildDuty() {
	bounds := a.settings.Bounds
	a.rollout = rollout.New(rollout.Options{Lease: bounds.Lease(), Thaw: bounds.Thaw(), Version: bounds.Version()})
	a.orders = orders.New(orders.Options{
		Clock: a.now,
		Ordered: func(token uint64, status int, err error) {
			a.post(func(now core.Time) {
				a.carryOut(now, a.rollout.OrderDone(now, token, status, err))
				a.stepRollout(now, true)
			})
		},
		Reported: func(token uint64, report *rollout.Report, err error) {
			a.post(func(now core.Time) {
				a.carryOut(now, a.rollout.ReportDone(now, token, report, err))
				a.stepRollout(now, true)
			})
		},
	})
}

// rolloutDeadline: a node that does not hold the duty has nothing to do for it.
func (a *Agent) rolloutDeadline() core.Time {
	if a.store == nil || !a.seen.holder {
		return core.Never
	}
	return a.rollout.Deadline()
}

// noteTargets remembers when each version of weights became known here.
func (a *Agent) noteTargets(now core.Time, compiled *config.Compiled) {
	for model, version := range compiled.ModelVersions {
		if known, ok := a.targets[model]; !ok || known.Version < version {
			a.targets[model] = rollout.Target{Model: model, Version: version, Known: now}
		}
	}
	a.stepRollout(now, true)
}

// stepRollout lets the duty act where this node holds it.
func (a *Agent) stepRollout(now core.Time, changed bool) {
	if a.store == nil {
		return
	}
	head := isHead(a.store.Status())
	if !head && !a.seen.holder {
		return
	}
	if a.rollout.Deadline() > now && !changed && head == a.seen.holder {
		return
	}
	a.seen.holder = head
	a.carryOut(now, a.rollout.Step(now, a.situation()))
}

func (a *Agent) situation() *rollout.Situation {
	status := a.store.Status()
	situation := &rollout.Situation{
		Head:      isHead(status),
		Epoch:     status.Epoch,
		LeaseFrom: status.LeaseFrom,
		Instances: a.registry.Instances(),
		Holder:    a.self.Name,
		Grant:     a.state.Duty(rollout.DutyName),
	}
	// A barrier of the head's own shows the same as a confirmation: all that was acknowledged before it began has been committed here.
	situation.GrantAsOf = status.LeaseFrom
	if at, ok := a.distribution.ConfirmedAt(); ok {
		situation.GrantAsOf = max(at, status.LeaseFrom)
	}
	for _, target := range a.targets {
		situation.Targets = append(situation.Targets, target)
	}
	return situation
}

func isHead(status chain.Status) bool {
	return status.Role == chain.HeadOf || status.Role == chain.Only
}

// carryOutDuty does what the duty's state machine asks for.
func (a *Agent) carryOutDuty(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.Order:
		a.orders.Order(output, a.mayOrder)
	case core.AskReport:
		a.orders.AskReport(output)
	case core.MarkLoading:
		a.carryOut(now, a.registry.SetLoading(now, output.InstanceID, output.Fence))
	case core.LoadingConfirmed:
		if output.Fence != 0 {
			a.rollout.MarkDone(now, output.InstanceID)
			a.stepRollout(now, true)
		}
	case core.LoadedVersion:
		a.carryOut(now, a.registry.SetModelVersion(now, output.InstanceID, output.Model, output.Version))
	case core.SubmitCommand:
		a.submitGrant(now, output.Command)
	default:
		a.log.Error("unknown output")
	}
}

// mayOrder is asked right before an order's first byte is written.
func (a *Agent) mayOrder(order core.Order) bool {
	return !a.stopping.Load() && a.now() < order.ValidUntil
}

// submitGrant brings a change of the duty's grant to the control state.
func (a *Agent) submitGrant(now core.Time, command *nodepb.Command) {
	request := a.requests.addInternal(func(now core.Time, reply core.Reply) {
		a.rollout.GrantDone(now, reply.Result)
		a.stepRollout(now, true)
	})
	a.carryOut(now, a.submit.Submit(now, request, command))
}
