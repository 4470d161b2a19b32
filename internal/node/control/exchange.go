package control

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// detectionTime is how long before a node hears of a view without a lost machine that machine was lost, at the least.
const detectionTime = time.Second

// exchange passes on between the planes what has changed since it was last looked at.
func (n *Node) exchange(now core.Time) {
	if revision := n.membership.Revision(); revision != n.seen.members {
		n.seen.members = revision
		n.membersChanged(now)
	}
	n.exchangeView(now)
	n.exchangeConfirmation(now)
}

func (n *Node) membersChanged(now core.Time) {
	members := n.membership.Members()
	n.carryOut(now, n.registry.SetMembers(now, members))
	n.carryOut(now, n.distribution.SetMembers(now, members))
	var counting []*nodepb.Member
	for _, member := range members {
		if member.CountsForQuorum {
			counting = append(counting, member)
		}
	}
	n.carryOut(now, n.submit.SetCoreMembers(now, counting))
	n.coreAddresses = addressesOf(counting)
	if n.store != nil {
		n.store.SetRelays(n.relaysOf(members))
		n.carryOut(now, n.store.SetQuorumMembers(now, counting))
	}
	n.emit(core.MembersChanged{Members: members})
}

// exchangeView tells who acts on the view of the newest one known here.
func (n *Node) exchangeView(now core.Time) {
	newest := n.distribution.View()
	if n.store != nil {
		if own := n.store.Status().View; own != nil && own.Epoch > newest.GetEpoch() {
			newest = own
		}
	}
	if newest.GetEpoch() <= n.seen.view {
		return
	}
	if n.seen.view > 0 && newest.MemberUnreachable {
		n.emit(core.CoreDisturbed{At: now - detectionTime})
	}
	n.seen.view = newest.GetEpoch()
	n.emit(core.Log{Message: "view", Fields: []any{"epoch", newest.Epoch, "chain", newest.Chain, "voters", len(newest.Voters)}})
	n.carryOut(now, n.distribution.SetView(now, newest))
	n.carryOut(now, n.submit.SetView(now, newest))
}

// exchangeConfirmation notes how fresh the state is.
func (n *Node) exchangeConfirmation(now core.Time) {
	if n.store != nil && n.distribution.Tail() {
		if status := n.store.Status(); status.EverConfirmed {
			n.distribution.LocalConfirmed(now, status.ConfirmedAt)
		}
	}
	if at, ok := n.distribution.ConfirmedAt(); ok {
		n.confirmed = max(at, 1)
	}
}
