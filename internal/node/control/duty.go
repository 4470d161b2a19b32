package control

import (
	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout"
)

// rolloutDeadline: a node that does not hold the duty has nothing to do for it.
func (n *Node) rolloutDeadline() core.Time {
	if n.store == nil || !n.seen.holder {
		return core.Never
	}
	return n.rollout.Deadline()
}

// noteTargets remembers when each version of weights became known here.
func (n *Node) noteTargets(now core.Time) {
	for model, version := range n.compiled.ModelVersions {
		if known, ok := n.targets[model]; !ok || known.Version < version {
			n.targets[model] = rollout.Target{Model: model, Version: version, Known: now}
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
	if !head && !n.seen.holder {
		return
	}
	if n.rollout.Deadline() > now && !changed && head == n.seen.holder {
		return
	}
	n.seen.holder = head
	n.carryOut(now, n.rollout.Step(now, n.situation()))
}

func (n *Node) situation() *rollout.Situation {
	status := n.store.Status()
	situation := &rollout.Situation{
		Head:      isHead(status),
		Epoch:     status.Epoch,
		LeaseFrom: status.LeaseStart,
		Instances: n.registry.Instances(),
		Holder:    n.self.Name,
		Grant:     n.state.Duty(rollout.DutyName),
	}
	// A barrier of the head's own shows the same as a confirmation: all that was acknowledged before it began has been committed here.
	situation.GrantAsOf = status.LeaseStart
	if at, ok := n.distribution.ConfirmedAt(); ok {
		situation.GrantAsOf = max(at, status.LeaseStart)
	}
	for _, target := range n.targets {
		situation.Targets = append(situation.Targets, target)
	}
	return situation
}

func isHead(status chain.Status) bool {
	return status.Role == chain.Head || status.Role == chain.SoleMember
}

// carryOutDuty does what the duty's state machine asks of other planes; false: it is for the shell.
func (n *Node) carryOutDuty(now core.Time, output core.Output) bool {
	switch output := output.(type) {
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
		n.submitGrant(now, output.Command)
	default:
		return false
	}
	return true
}

// submitGrant brings a change of the duty's grant to the control state.
func (n *Node) submitGrant(now core.Time, command *nodepb.Command) {
	n.requests++
	request := ownRequest | n.requests
	n.grants[request] = true
	n.carryOut(now, n.submit.Submit(now, request, command))
}
