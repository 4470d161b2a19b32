package control

import (
	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout"
)

// rolloutStepDeadline: a node that does not hold the duty has nothing to do for it.
func (n *Node) rolloutStepDeadline() core.Time {
	if n.store == nil || !n.propagated.isLeaseHolder {
		return core.Never
	}
	return n.rollout.Deadline()
}

// recordTargets remembers when each version of weights became known here.
func (n *Node) recordTargets(now core.Time) {
	for model, version := range n.compiled.ModelVersions {
		if known, ok := n.targetVersions[model]; !ok || known.Version < version {
			n.targetVersions[model] = rollout.Target{Model: model, Version: version, Known: now}
		}
	}
	n.stepRollout(now, true)
}

// stepRollout lets the duty act where this node holds it.
func (n *Node) stepRollout(now core.Time, changed bool) {
	if n.store == nil {
		return
	}
	head := isHead(n.store.Status())
	if !head && !n.propagated.isLeaseHolder {
		return
	}
	if n.rollout.Deadline() > now && !changed && head == n.propagated.isLeaseHolder {
		return
	}
	n.propagated.isLeaseHolder = head
	n.execute(now, n.rollout.Step(now, n.rolloutSituation()))
}

func (n *Node) rolloutSituation() *rollout.Situation {
	status := n.store.Status()
	situation := &rollout.Situation{
		Head:      isHead(status),
		Epoch:     status.Epoch,
		LeaseFrom: status.LeaseFrom,
		Instances: n.registry.Instances(),
		Holder:    n.self.Name,
		Grant:     n.state.Duty(rollout.DutyName),
	}
	// A barrier of the head's own shows the same as a confirmation: all that was acknowledged before it began has been committed here.
	situation.GrantAsOf = status.LeaseFrom
	if confirmedAt, ok := n.distribution.ConfirmedAt(); ok {
		situation.GrantAsOf = max(confirmedAt, status.LeaseFrom)
	}
	for _, target := range n.targetVersions {
		situation.Targets = append(situation.Targets, target)
	}
	return situation
}

func isHead(status chain.Status) bool {
	return status.Role == chain.HeadOf || status.Role == chain.Only
}

// executeForRollout does what the duty's state machine asks of other planes; false: it is for the shell.
func (n *Node) executeForRollout(now core.Time, output core.Output) bool {
	switch output := output.(type) {
	case core.MarkLoading:
		n.execute(now, n.registry.SetLoading(now, output.InstanceID, output.Fence))
	case core.LoadingConfirmed:
		if output.Fence != 0 {
			n.rollout.MarkDone(now, output.InstanceID)
			n.stepRollout(now, true)
		}
	case core.LoadedVersion:
		n.execute(now, n.registry.SetModelVersion(now, output.InstanceID, output.Model, output.Version))
	case core.SubmitCommand:
		n.submitLeaseCommand(now, output.Command)
	default:
		return false
	}
	return true
}

// submitLeaseCommand brings a change of the duty's grant to the control state.
func (n *Node) submitLeaseCommand(now core.Time, command *nodepb.Command) {
	n.lastLeaseRequest++
	request := leaseRequestFlag | n.lastLeaseRequest
	n.leaseCommands[request] = true
	n.execute(now, n.submit.Submit(now, request, command))
}
