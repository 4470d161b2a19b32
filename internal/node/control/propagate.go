package control

import (
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// minDetectionTime is the least time between the loss of a core machine and the arrival here of the
// view that leaves it out: the detector's time-out.
const minDetectionTime = time.Second

// propagate hands each plane what has changed in the others since the last call.
func (n *Node) propagate(now core.Time) {
	if revision := n.membership.Revision(); revision != n.propagated.membersRevision {
		n.propagated.membersRevision = revision
		n.propagateMembers(now)
	}
	n.propagateView(now)
	n.propagateConfirmation(now)
}

// propagateMembers hands the membership list to all planes, and to the shell.
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
	n.execute(now, n.submit.SetCoreMembers(now, counting))
	n.coreAddresses = addressesOf(counting)
	if n.store != nil {
		n.store.SetRelays(n.rankRelays(members))
		n.execute(now, n.store.SetQuorumMembers(now, counting))
	}
	n.outbox.Add(core.MembersChanged{Members: members})
}

// propagateView hands the newest view known here, by distribution or by this node's own chain member,
// to distribution and submit. Epochs only rise: an older view is never propagated after a newer one.
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
	if n.propagated.viewEpoch > 0 && newest.MemberUnreachable {
		n.outbox.Add(core.QuorumMemberLost{LostBy: now - minDetectionTime})
	}
	n.propagated.viewEpoch = newest.GetEpoch()
	n.outbox.Add(core.Log{Message: "control: view changed", Fields: []any{"epoch", newest.Epoch, "chain", newest.Chain, "voters", len(newest.Voters)}})
	n.execute(now, n.distribution.SetView(now, newest))
	n.execute(now, n.submit.SetView(now, newest))
	n.registry.SetVoters(addressesOfVoters(newest))
}

// addressesOfVoters lists the internal addresses of the voters of a view.
func addressesOfVoters(agreed *nodepb.View) []string {
	var addresses []string
	for _, voter := range agreed.GetVoters() {
		addresses = append(addresses, voter.GetAddress())
	}
	return addresses
}

// confirmation returns the time of a confirmation as Node keeps it. One from before the process's start
// is negative: taken for one of the start it would be trusted for longer than its age allows. 0 stands
// for none.
func confirmation(confirmedAt core.Time) core.Time {
	if confirmedAt == 0 {
		return -1
	}
	return confirmedAt
}

// propagateConfirmation hands the tail's own barriers to distribution, and records how fresh the state
// held here is.
func (n *Node) propagateConfirmation(now core.Time) {
	if n.store != nil && n.distribution.Tail() {
		if status := n.store.Status(); status.EverConfirmed {
			n.distribution.LocalConfirmed(now, status.ConfirmedAt)
		}
	}
	if confirmedAt, ok := n.distribution.ConfirmedAt(); ok {
		n.confirmedAt = confirmation(confirmedAt)
	}
}
