package scale

import (
	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout"
)

// noteTargets remembers when each version of weights became known here.
func (n *node) noteTargets(now core.Time) {
	for model, version := range n.compiled.ModelVersions {
		if known, ok := n.targets[model]; !ok || known.Version < version {
			n.targets[model] = rollout.Target{Model: model, Version: version, Known: now}
		}
	}
	n.stepRollout(now, true)
}

func (n *node) isHead() bool {
	role := n.store.Status().Role
	return role == chain.HeadOf || role == chain.Only
}

// stepRollout lets the duty act where this node holds it, as package agent does.
func (n *node) stepRollout(now core.Time, changed bool) {
	if n.store == nil {
		return
	}
	head := n.isHead()
	if !head && !n.seen.holder {
		return
	}
	if n.rollout.Deadline() > now && !changed && head == n.seen.holder {
		return
	}
	n.seen.holder = head
	n.carryOut(now, n.rollout.Step(now, n.situation(head)))
}

func (n *node) situation(head bool) *rollout.Situation {
	status := n.store.Status()
	situation := &rollout.Situation{
		Head: head, Epoch: status.Epoch, LeaseFrom: status.LeaseFrom, Instances: n.registry.Instances(),
		Holder: n.self.NodeId, Grant: n.state.Duty(rollout.DutyName),
	}
	if at, ok := n.distribution.ConfirmedAt(); ok {
		situation.GrantAsOf = at
	}
	for _, target := range n.targets {
		situation.Targets = append(situation.Targets, target)
	}
	return situation
}

// carryOutDuty does what the duty's state machine asks for.
func (n *node) carryOutDuty(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.Order:
		n.fleet.order(n, output)
	case core.AskReport:
		n.fleet.askReport(n, output)
	case core.MarkLoading:
		n.carryOut(now, n.registry.SetLoading(now, output.InstanceID, output.Fence))
	case core.LoadingConfirmed:
		if output.Fence != 0 {
			n.rollout.MarkDone(now, output.InstanceID)
			n.stepRollout(now, true)
		}
	case core.LoadedVersion:
		n.carryOut(now, n.registry.SetModelVersion(now, output.InstanceID, output.Model, output.Version))
	case core.SubmitCommand:
		n.submitCommand(now, output.Command, func(now core.Time, reply core.Reply) {
			n.rollout.GrantDone(now, reply.Result)
			n.stepRollout(now, true)
		})
	}
}

// submitCommand brings a change to the control state; done runs with its answer, within a turn.
func (n *node) submitCommand(now core.Time, command *nodepb.Command, done func(now core.Time, reply core.Reply)) {
	n.last++
	n.requests[n.last] = done
	n.carryOut(now, n.submit.Submit(now, n.last, command))
}
