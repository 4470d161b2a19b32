package control

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// minDetectionTime is how long before a node hears of a view without a lost machine that machine was lost, at the least.
const minDetectionTime = time.Second

// propagate passes on between the planes what has changed since it was last looked at.
func (n *Node) propagate(now core.Time) {
	if revision := n.membership.Revision(); revision != n.propagated.membersRevision {
		n.propagated.membersRevision = revision
		n.propagateMembers(now)
	}
	n.propagateView(now)
	n.propagateConfirmation(now)
}

func (n *Node) propagateMembers(now core.Time) {
	members := n.membership.Members()
	n.execute(now, n.registry.SetMembers(now, members))
	n.execute(now, n.distribution.SetMembers(now, members))
	var counting []*nodepb.Member
	for _, member := range members {
		if member.CountsForQuorum {
			counting = append(counting, member)
		}
	}
	n.execute(now, n.submit.SetCore(now, counting))
	n.coreAddresses = addressesOf(counting)
	if n.store != nil {
		n.store.SetRelays(n.rankRelays(members))
		n.execute(now, n.store.SetPeers(now, counting))
	}
	n.emit(core.MembersChanged{Members: members})
}

// propagateView tells who acts on the view of the newest one known here.
func (n *Node) propagateView(now core.Time) {
	newest := n.distribution.View()
	if n.store != nil {
		if own := n.store.Status().View; own != nil && own.Epoch > newest.GetEpoch() {
			newest = own
		}
	}
	if newest.GetEpoch() <= n.propagated.viewEpoch {
		return
	}
	if n.propagated.viewEpoch > 0 && newest.LostMachine {
		n.emit(core.CoreDisturbed{At: now - minDetectionTime})
	}
	n.propagated.viewEpoch = newest.GetEpoch()
	n.emit(core.Log{Message: "view", Fields: []any{"epoch", newest.Epoch, "chain", newest.Chain, "voters", len(newest.Voters)}})
	n.execute(now, n.distribution.SetView(now, newest))
	n.execute(now, n.submit.SetView(now, newest))
}

// propagateConfirmation notes how fresh the state is.
func (n *Node) propagateConfirmation(now core.Time) {
	if n.store != nil && n.distribution.Tail() {
		if status := n.store.Status(); status.ConfirmedOnce {
			n.distribution.LocalConfirmed(now, status.ConfirmedAt)
		}
	}
	if confirmedAt, ok := n.distribution.ConfirmedAt(); ok {
		n.confirmedAt = max(confirmedAt, 1)
	}
}
