package scale

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// dispatch brings a message to the plane that it is for, as package agent does.
func (n *node) dispatch(now core.Time, from core.Peer, message *nodepb.Envelope) []core.Output {
	switch message.Body.(type) {
	case *nodepb.Envelope_Probe, *nodepb.Envelope_ProbeAck, *nodepb.Envelope_ProbeRequest, *nodepb.Envelope_MemberSync:
		return n.membership.Receive(now, from, message)
	case *nodepb.Envelope_StatePoll, *nodepb.Envelope_StatePollReply, *nodepb.Envelope_StatePush:
		return n.distribution.Receive(now, from, message)
	case *nodepb.Envelope_HeartbeatForward, *nodepb.Envelope_HeartbeatForwardReply, *nodepb.Envelope_InstanceUpdate,
		*nodepb.Envelope_InstanceUpdateAck, *nodepb.Envelope_RegistryPoll, *nodepb.Envelope_RegistrySnapshot:
		return n.registry.Receive(now, from, message)
	case *nodepb.Envelope_SubmitReply:
		return n.submit.Receive(now, from, message)
	case *nodepb.Envelope_IndexUpdate:
		return n.handleIndex(now, from, message.GetIndexUpdate())
	case *nodepb.Envelope_IndexPoll:
		return n.home.HandlePoll(now, from, message.GetIndexPoll())
	default:
		if n.store == nil {
			return nil
		}
		return n.store.Receive(now, from, message)
	}
}

func (n *node) carryOut(now core.Time, outputs []core.Output) {
	for _, output := range outputs {
		n.carryOutOne(now, output)
	}
}

func (n *node) carryOutOne(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.Send:
		n.fleet.send(n, output)
	case core.Write:
		n.write(output)
	case core.Reply:
		if done := n.requests[output.Request]; done != nil {
			delete(n.requests, output.Request)
			done(now, output)
		}
	case core.Committed:
		n.carryOut(now, n.distribution.Committed(now, output.Entry))
	case core.Installed:
		n.carryOut(now, n.distribution.Installed(now, output.Snapshot))
	case core.StateChanged:
		n.stateChanged(now)
	case core.ConfirmationWanted:
		if n.store != nil {
			n.carryOut(now, n.store.WantConfirmation(now))
		}
	case core.RegistryAnswer:
		if answered := n.callers[output.Request]; answered != nil {
			delete(n.callers, output.Request)
			answered(output)
		}
	case core.TableChanged:
		n.publishTable(now)
	case core.AskEvents:
		n.fleet.askEvents(n, output)
	default:
		n.carryOutDuty(now, output)
	}
}

// write ends after the time that a disk takes to sync.
func (n *node) write(write core.Write) {
	n.meter.writes++
	for _, record := range write.Records {
		n.meter.stored += uint64(len(record.Data))
	}
	n.fleet.clock.after(syncOfDisk, func() {
		if n.running {
			n.turn(&n.meter.ticks, func(now core.Time) { n.carryOut(now, n.store.Written(now, write.Token, nil)) })
		}
	})
}

func (n *node) stateChanged(now core.Time) {
	n.compiled = n.state.Compile()
	n.seen.index = true
	n.router.SetConfig(now, n.compiled)
	n.noteTargets(now)
	n.fleet.applied(n, n.state.Index())
}

func (n *node) publishTable(now core.Time) {
	n.router.SetTable(now, n.registry.Table())
	n.seen.index = true
	n.fleet.tableChanged(n)
}

// exchange passes on between the planes what has changed, as package agent does.
func (n *node) exchange(now core.Time) {
	if revision := n.membership.Revision(); revision != n.seen.members {
		n.seen.members = revision
		n.membersChanged(now)
	}
	n.exchangeView(now)
	if n.store != nil && n.distribution.Tail() {
		if status := n.store.Status(); status.ConfirmedOnce {
			n.distribution.LocalConfirmed(now, status.ConfirmedAt)
		}
	}
	n.refreshIndex(now)
}

func (n *node) membersChanged(now core.Time) {
	members := n.membership.Members()
	n.seen.index = true
	n.carryOut(now, n.registry.SetMembers(now, members))
	n.carryOut(now, n.distribution.SetMembers(now, members))
	var counting []*nodepb.Member
	for _, member := range members {
		if member.CountsForQuorum {
			counting = append(counting, member)
		}
	}
	n.carryOut(now, n.submit.SetCore(now, counting))
	if n.store != nil {
		n.carryOut(now, n.store.SetPeers(now, counting))
	}
	n.router.SetPeers(now, len(members))
	n.fleet.membersChanged(n, members)
}

func (n *node) exchangeView(now core.Time) {
	view := n.distribution.View()
	if n.store != nil {
		if own := n.store.Status().View; own != nil && own.Epoch > view.GetEpoch() {
			view = own
		}
	}
	if view.GetEpoch() <= n.seen.view {
		return
	}
	n.seen.view = view.GetEpoch()
	n.carryOut(now, n.distribution.SetView(now, view))
	n.carryOut(now, n.submit.SetView(now, view))
}

func (n *node) refreshIndex(now core.Time) {
	if !n.seen.index || n.compiled == nil {
		return
	}
	n.seen.index = false
	table := n.registry.Table()
	n.subscriber.SetTable(table)
	members := n.membership.Members()
	n.home.SetSubscribers(n.indexSubscribers(members))
	n.home.SetSources(now, kvindex.SourcesOf(table, n.compiled.Stores, func(service, zone string) bool {
		return indexHome(members, service, zone) == n.self.NodeId
	}))
}

func (n *node) indexSubscribers(members []*nodepb.Member) []string {
	if n.fleet.askedIndex {
		return []string{n.self.Address}
	}
	return addresses(members)
}

func addresses(members []*nodepb.Member) []string {
	list := make([]string, 0, len(members))
	for _, member := range members {
		if member.ServesFront {
			list = append(list, member.Address)
		}
	}
	return list
}

// indexHome is the node that asks the brokers of a service in a zone for their events.
func indexHome(members []*nodepb.Member, service, zone string) string {
	candidates := slices.Clone(members)
	candidates = slices.DeleteFunc(candidates, func(m *nodepb.Member) bool { return m.Zone != zone })
	if len(candidates) == 0 {
		candidates = members
	}
	if len(candidates) == 0 {
		return ""
	}
	best := rendezvous.Best("index/"+service+"/"+zone, candidates, func(m *nodepb.Member) string { return m.NodeId })
	return best.NodeId
}
