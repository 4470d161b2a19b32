package view

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// NewPing returns the next ping to the node at the address and records it as sent. The caller must
// send it through the relay via, or directly if via is empty. self is this node's own report.
func (d *Detector) NewPing(address, via string, self Report) *nodepb.VoterPing {
	p := d.peerAt(address)
	p.pingSequence++
	p.sentPings[p.pingSequence%sentHistorySize] = sentMessage{p.pingSequence, d.now, via}
	if via == "" {
		p.nextPingAt = d.now
		if d.now-p.lastDirectContact > slowPingTimeout {
			p.nextPingAt = d.now + slowPingInterval
		}
	}
	return &nodepb.VoterPing{
		Sequence:          p.pingSequence,
		Self:              self.Voter,
		Epoch:             self.Epoch,
		Committed:         self.Committed,
		DiskHealthy:       self.DiskHealthy,
		CountsForQuorum:   self.CountsForQuorum,
		Founding:          self.Founding,
		AcknowledgedPong:  p.lastPongSequence,
		UnreachableVoters: self.UnreachableVoters,
		Wedged:            self.Wedged,
	}
}

// ReceivePing records a ping from the node at the address and returns the pong. The caller must send
// the pong through the relay via, by which the ping came, or directly if via is empty: only then does
// the acknowledgement of the pong prove that path. self is this node's own report.
func (d *Detector) ReceivePing(address, via string, ping *nodepb.VoterPing, self Report) *nodepb.VoterPong {
	p := d.peerAt(address)
	d.recordReport(p, via, reportOf(ping))
	d.recordArrival(p, p.sentPongs[ping.GetAcknowledgedPong()%sentHistorySize], ping.GetAcknowledgedPong())
	p.sentPongs[ping.GetSequence()%sentHistorySize] = sentMessage{ping.GetSequence(), d.now, via}
	return &nodepb.VoterPong{
		Sequence:          ping.GetSequence(),
		Self:              self.Voter,
		Epoch:             self.Epoch,
		Committed:         self.Committed,
		DiskHealthy:       self.DiskHealthy,
		CountsForQuorum:   self.CountsForQuorum,
		Founding:          self.Founding,
		UnreachableVoters: self.UnreachableVoters,
		Wedged:            self.Wedged,
	}
}

// ReceivePong records the answer to a ping, received from the node at the address through the relay
// via, or directly if via is empty.
func (d *Detector) ReceivePong(address, via string, pong *nodepb.VoterPong) {
	p := d.peerAt(address)
	d.recordReport(p, via, reportOf(pong))
	if d.recordArrival(p, p.sentPings[pong.GetSequence()%sentHistorySize], pong.GetSequence()) {
		p.lastPongSequence = max(p.lastPongSequence, pong.GetSequence())
	}
}

// RecordRoundTrip records a round trip proven by messages other than pings: the voter at the address
// has answered a message that was sent at sentAt.
func (d *Detector) RecordRoundTrip(address string, voter *nodepb.Voter, sentAt core.Time) {
	p := d.peerAt(address)
	if p.lastReport == nil || p.lastReport.Voter.GetDiskId() != voter.GetDiskId() {
		d.recordReport(p, "", Report{Voter: voter, DiskHealthy: true, CountsForQuorum: true})
	}
	p.lastContact = d.now
	p.roundTripProven = true
	p.lastRoundTrip = max(p.lastRoundTrip, sentAt)
}

// recordArrival records a round trip, as the peer has acknowledged the message with the given
// sequence number. message is the entry of the ring buffer for that number. recordArrival records
// nothing and returns false if this incarnation of the node did not send the number, or if a newer
// message has overwritten the entry.
func (d *Detector) recordArrival(p *peer, message sentMessage, sequence uint64) bool {
	if sequence == 0 || message.sequence != sequence {
		return false
	}
	p.roundTripProven = true
	p.lastRoundTrip = max(p.lastRoundTrip, message.sentAt)
	p.paths.recordProof(message.via, message.sentAt)
	return true
}

// recordReport replaces the peer's last report. The new report came through the relay via, or
// directly if via is empty. A changed node id means that the peer has restarted, which restarts the
// observation.
func (d *Detector) recordReport(p *peer, via string, report Report) {
	if via == "" {
		p.lastDirectContact = d.now
	}
	if p.lastReport != nil && p.lastReport.Voter.GetNodeId() != report.Voter.GetNodeId() {
		p.restartObservation(d.now)
	}
	p.lastContact = d.now
	p.recordDiskState(d.now, report.DiskHealthy)
	p.recordWedge(d.now, &report)
	p.lastReport = &report
}
