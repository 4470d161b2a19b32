package scale

import (
	"slices"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// receiveOwn takes a message that is for the index.
func (n *node) receiveOwn(now core.Time, from core.Peer, message *nodepb.Envelope) {
	switch message.Body.(type) {
	case *nodepb.Envelope_IndexUpdate:
		n.carryOut(now, n.handleIndex(now, from, message.GetIndexUpdate()))
	case *nodepb.Envelope_IndexPoll:
		n.carryOut(now, n.home.HandlePoll(now, from, message.GetIndexPoll()))
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
	case core.StateChanged:
		n.stateChanged(now)
	case core.MembersChanged:
		n.membersChanged(now, output.Members)
	case core.MessageReassembled:
		n.receiveOwn(now, output.From, output.Message)
	case core.RegistryReply:
		if answered := n.callers[output.Request]; answered != nil {
			delete(n.callers, output.Request)
			answered(output)
		}
	case core.TableChanged:
		n.publishTable(now)
	case core.FetchEvents:
		n.fleet.askEvents(n, output)
	case core.SendOrder:
		n.fleet.order(n, output)
	case core.FetchReport:
		n.fleet.askReport(n, output)
	}
}

// submitCommand brings a change to the control state; done runs with its answer, within a turn.
func (n *node) submitCommand(now core.Time, command *nodepb.Command, done func(now core.Time, reply core.Reply)) {
	n.last++
	n.requests[n.last] = done
	n.carryOut(now, n.control.Submit(now, n.last, command))
}

// write ends after the time that a disk takes to sync.
func (n *node) write(write core.Write) {
	n.meter.writes++
	for _, record := range write.Records {
		n.meter.stored += uint64(len(record.Data))
	}
	n.fleet.clock.after(syncOfDisk, func() {
		if n.running {
			n.turn(&n.meter.ticks, func(now core.Time) { n.carryOut(now, n.control.Written(now, write.Token, nil, false)) })
		}
	})
}

func (n *node) stateChanged(now core.Time) {
	n.compiled = n.control.Compiled()
	n.stale = true
	n.router.SetConfig(now, n.compiled)
	n.fleet.applied(n, n.control.State().Index())
}

func (n *node) publishTable(now core.Time) {
	n.router.SetTable(now, n.control.Registry().Table())
	n.stale = true
	n.fleet.tableChanged(n)
}

func (n *node) membersChanged(now core.Time, members []*nodepb.Member) {
	n.stale = true
	n.router.SetPeers(now, len(members))
	n.fleet.membersChanged(n, members)
}

func (n *node) refreshIndex(now core.Time) {
	if !n.stale || n.compiled == nil {
		return
	}
	n.stale = false
	table := n.control.Registry().Table()
	n.subscriber.SetTable(table)
	members := n.control.Members()
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
