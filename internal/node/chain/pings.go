package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// updateTargets sets the nodes that the detector watches: the voters; the founders while there is
// no view; and, while this node is outside the chain, all members that count for a quorum.
func (r *Replica) updateTargets() {
	var targets []view.Target
	for _, voter := range r.view.GetVoters() {
		targets = append(targets, view.Target{Address: voter.GetAddress(), DiskID: voter.GetDiskId()})
	}
	for _, founder := range r.founders {
		targets = append(targets, view.Target{Address: founder})
	}
	if !r.inChain() {
		for _, member := range r.quorumMembers {
			targets = append(targets, view.Target{Address: member.GetAddress()})
		}
	}
	r.detector.Watch(r.now, targets, r.view.GetVoters(), r.view == nil)
}

// selfReport is what this node reports of itself in pings and pongs.
func (r *Replica) selfReport() view.Report {
	return view.Report{
		Voter:             r.options.Self,
		Epoch:             view.Epoch(r.view),
		Committed:         r.committed.index,
		DiskHealthy:       r.records.healthy(r.now),
		CountsForQuorum:   r.diskID() != "",
		Founding:          len(r.founders) > 0,
		Wedged:            r.wedged,
		UnreachableVoters: r.detector.UnreachableVoters(),
	}
}

func (r *Replica) sendDuePings() {
	due := r.detector.DuePings()
	if len(due) == 0 {
		return
	}
	report := r.selfReport()
	for _, ping := range due {
		r.sendPing(ping, report)
	}
}

// sendPingNow pings a node outside the usual interval.
func (r *Replica) sendPingNow(address string) {
	r.sendPing(view.DuePing{Address: address, Via: r.detector.RelayFor(address)}, r.selfReport())
}

func (r *Replica) sendPing(due view.DuePing, report view.Report) {
	ping := r.detector.NewPing(due.Address, due.Via, report)
	ping.View = r.viewIfOutdated(due.Address)
	r.emit(core.Send{
		Destination: due.Address,
		Via:         due.Via,
		Message:     &nodepb.Envelope{Body: &nodepb.Envelope_VoterPing{VoterPing: ping}},
	})
}

// SetRelays sets the addresses of the nodes that may relay messages to core machines without a
// direct path, best first.
func (r *Replica) SetRelays(addresses []string) { r.detector.SetRelays(addresses) }

// Route is the internal address of the relay by which messages to the address should go at present;
// empty: directly. Pings and pongs name the path that they are to prove themselves.
func (r *Replica) Route(address string) string { return r.detector.RelayFor(address) }

// viewIfOutdated is the view if the last report of the node at the address names an older one, else
// nil.
func (r *Replica) viewIfOutdated(address string) *nodepb.View {
	report := r.detector.LastReport(address)
	if report == nil || r.view == nil || report.Epoch >= r.view.GetEpoch() {
		return nil
	}
	return r.view
}

func (r *Replica) receivePing(from core.Peer, ping *nodepb.VoterPing) {
	pong := r.detector.ReceivePing(from.Address, from.Via, ping, r.selfReport())
	r.installView(ping.GetView())
	pong.Epoch = view.Epoch(r.view)
	pong.View = r.viewIfOutdated(from.Address)
	r.emit(core.Send{
		Destination: from.Address,
		Via:         from.Via,
		Message:     &nodepb.Envelope{Body: &nodepb.Envelope_VoterPong{VoterPong: pong}},
	})
	r.afterContact()
}

func (r *Replica) receivePong(from core.Peer, pong *nodepb.VoterPong) {
	r.detector.ReceivePong(from.Address, from.Via, pong)
	r.installView(pong.GetView())
	if r.viewIfOutdated(from.Address) != nil {
		r.sendView(from.Address)
	}
	r.afterContact()
}

// afterContact does what a new report may allow: to propose the first view, or to join.
func (r *Replica) afterContact() {
	if r.view == nil {
		r.considerFirstView()
	}
	r.requestJoinIfDue()
}
