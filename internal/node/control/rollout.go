package control

import (
	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rollout"
)

// rolloutStepDeadline returns when the rollout wants its next step; core.Never while this node does
// not hold the role.
func (n *Node) rolloutStepDeadline() core.Time {
	if n.store == nil || !n.propagated.isLeaseHolder {
		return core.Never
	}
	return n.rollout.Deadline()
}

// recordTargets records when each named version of a model's weights became known here, and steps
// the rollout.
func (n *Node) recordTargets(now core.Time) {
	for model, version := range n.compiled.ModelVersions {
		if known, ok := n.targetVersions[model]; !ok || known.Version < version {
			n.targetVersions[model] = rollout.Target{Model: model, Version: version, KnownAt: now}
		}
	}
	n.stepRollout(now, true)
}

// stepRollout lets the rollout act where this node is the head of the chain, which holds the role. It
// also runs once after headship ended, so that the rollout sees that. changed: an input changed, so
// that the step must not wait for the deadline.
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

// rolloutSituation collects what the rollout decides by.
func (n *Node) rolloutSituation() *rollout.Situation {
	status := n.store.Status()
	situation := &rollout.Situation{
		Head:           isHead(status),
		Epoch:          status.Epoch,
		HeadLeaseStart: status.LeaseStart,
		Instances:      n.registry.Instances(),
		HolderID:       n.self.Name,
		Grant:          n.state.Grant(rollout.RoleName),
	}
	// A barrier of the head's own proves the same as a confirmation: everything acknowledged before
	// the barrier began is committed here.
	situation.GrantAsOf = status.LeaseStart
	if confirmedAt, ok := n.distribution.ConfirmedAt(); ok {
		situation.GrantAsOf = max(confirmedAt, status.LeaseStart)
	}
	for _, target := range n.targetVersions {
		situation.Targets = append(situation.Targets, target)
	}
	return situation
}

// isHead reports whether the chain's member is its head, alone or not.
func isHead(status chain.Status) bool {
	return status.Role == chain.Head || status.Role == chain.SoleMember
}

// executeForRollout executes the outputs of the rollout that other planes take. It reports false for
// outputs that are the shell's.
func (n *Node) executeForRollout(now core.Time, output core.Output) bool {
	switch output := output.(type) {
	case core.MarkLoading:
		n.execute(now, n.registry.SetLoading(now, output.InstanceID, output.FencingToken))
	case core.LoadingConfirmed:
		if output.FencingToken != 0 {
			n.rollout.MarkDone(now, output.InstanceID)
			n.stepRollout(now, true)
		}
	case core.VersionLoaded:
		n.execute(now, n.registry.SetModelVersion(now, output.InstanceID, output.Model, output.Version))
	case core.SubmitCommand:
		n.submitLeaseCommand(now, output.Command)
	default:
		return false
	}
	return true
}

// submitLeaseCommand submits a change of the role's lease to the control state. Its request number
// carries leaseRequestFlag, and handleReply routes the result back to the rollout.
func (n *Node) submitLeaseCommand(now core.Time, command *nodepb.Command) {
	n.lastLeaseRequest++
	request := leaseRequestFlag | n.lastLeaseRequest
	n.leaseCommands[request] = true
	n.execute(now, n.submit.Submit(now, request, command))
}
