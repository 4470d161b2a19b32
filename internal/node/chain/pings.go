package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// updateTargets tells the detector whom to watch: the voters; the founders while there is no view; and, while this node is outside
// the chain, all that count.
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

// selfReport is what this node says of itself.
func (r *Replica) selfReport() view.Report {
	return view.Report{
		Voter:             r.options.Self,
		Epoch:             view.Epoch(r.view),
		Committed:         r.committed.index,
		DiskHealthy:       r.writer.healthy(r.now),
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

func (r *Replica) sendPingNow(address string) {
	r.sendPing(view.DuePing{Address: address, Via: r.detector.Route(address)}, r.selfReport())
}

func (r *Replica) sendPing(due view.DuePing, report view.Report) {
	ping := r.detector.NewPing(due.Address, due.Via, report)
	ping.View = r.viewIfOutdated(due.Address)
	r.emit(core.Send{
		To:      due.Address,
		Via:     due.Via,
		Message: &nodepb.Envelope{Body: &nodepb.Envelope_VoterPing{VoterPing: ping}},
	})
}

// SetRelays names the nodes that may relay messages to core machines that can't be reached directly, best first.
func (r *Replica) SetRelays(addresses []string) { r.detector.SetRelays(addresses) }

// Route is the internal address of the node by which messages to the address should go just now; empty: directly. Pings and
// pongs take the way that they are to prove.
func (r *Replica) Route(address string) string { return r.detector.Route(address) }

// viewIfOutdated is the view if the node at the address was last seen with an older one.
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
		To:      from.Address,
		Via:     from.Via,
		Message: &nodepb.Envelope{Body: &nodepb.Envelope_VoterPong{VoterPong: pong}},
	})
	r.afterContact(from, ping.GetEpoch())
}

func (r *Replica) receivePong(from core.Peer, pong *nodepb.VoterPong) {
	r.detector.ReceivePong(from.Address, from.Via, pong)
	r.installView(pong.GetView())
	if r.viewIfOutdated(from.Address) != nil {
		r.sendView(from.Address)
	}
	r.afterContact(from, pong.GetEpoch())
}

// afterContact follows up on a ping or pong.
func (r *Replica) afterContact(from core.Peer, epoch uint64) {
	if r.view == nil {
		r.proposeFirstView()
	}
	r.sendJoinRequest()
}
