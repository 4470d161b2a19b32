package view

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// NewPing makes the next ping for the address, to be sent by the relay via, or directly where that
// is empty. self is this node's own report.
func (d *Detector) NewPing(address, via string, self Report) *nodepb.VoterPing {
	p := d.peer(address)
	p.pingSequence++
	p.sentPings[p.pingSequence%sentHistory] = sentMessage{p.pingSequence, d.now, via}
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

// ReceivePing records a ping and makes the pong, which must return by the relay via that brought
// the ping: only then does the acknowledgement of the pong prove that path.
func (d *Detector) ReceivePing(address, via string, ping *nodepb.VoterPing, self Report) *nodepb.VoterPong {
	p := d.peer(address)
	d.recordReport(p, via, reportOf(ping))
	d.recordArrival(p, p.sentPongs[ping.GetAcknowledgedPong()%sentHistory], ping.GetAcknowledgedPong())
	p.sentPongs[ping.GetSequence()%sentHistory] = sentMessage{ping.GetSequence(), d.now, via}
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

// ReceivePong records the answer to a ping.
func (d *Detector) ReceivePong(address, via string, pong *nodepb.VoterPong) {
	p := d.peer(address)
	d.recordReport(p, via, reportOf(pong))
	if d.recordArrival(p, p.sentPings[pong.GetSequence()%sentHistory], pong.GetSequence()) {
		p.lastPongSequence = max(p.lastPongSequence, pong.GetSequence())
	}
}

// RecordRoundTrip records a round trip that other messages have proven: one that was sent at sentAt
// has been answered.
func (d *Detector) RecordRoundTrip(address string, voter *nodepb.Voter, sentAt core.Time) {
	p := d.peer(address)
	if p.lastReport == nil || p.lastReport.Voter.GetDiskId() != voter.GetDiskId() {
		d.recordReport(p, "", Report{Voter: voter, DiskHealthy: true, CountsForQuorum: true})
	}
	p.lastContact = d.now
	p.roundTripProven = true
	p.lastRoundTrip = max(p.lastRoundTrip, sentAt)
}

// recordArrival records that the message with the sequence number has arrived. It reports false,
// and proves nothing, for a number that this incarnation of the node did not send or no longer
// remembers.
func (d *Detector) recordArrival(p *peer, message sentMessage, sequence uint64) bool {
	if sequence == 0 || message.sequence != sequence {
		return false
	}
	p.roundTripProven = true
	p.lastRoundTrip = max(p.lastRoundTrip, message.sentAt)
	p.paths.recordProof(message.via, message.sentAt)
	return true
}

// recordReport replaces the peer's last report by one that came by the relay via, or directly where
// that is empty.
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
