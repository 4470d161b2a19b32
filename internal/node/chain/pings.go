package chain

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/view"
)

// watch tells the detector whom to watch: the voters; the founders while there is no view; and, while this node is outside
// the chain, all that count.
func (s *Store) watch() {
	var targets []view.Target
	for _, voter := range s.view.GetVoters() {
		targets = append(targets, view.Target{Address: voter.GetAddress(), DiskID: voter.GetDiskId()})
	}
	for _, founder := range s.founders {
		targets = append(targets, view.Target{Address: founder})
	}
	if !s.inChain() {
		for _, member := range s.peers {
			targets = append(targets, view.Target{Address: member.GetAddress()})
		}
	}
	s.detector.Watch(s.now, targets, s.view.GetVoters(), s.view == nil)
}

// told is what this node says of itself.
func (s *Store) told() view.Told {
	return view.Told{
		Voter:       s.options.Self,
		Epoch:       view.Epoch(s.view),
		Committed:   s.committed.index,
		DiskHealthy: s.writer.healthy(s.now),
		Counts:      s.diskID() != "",
		Founding:    len(s.founders) > 0,
		Wedged:      s.wedged,
		Missing:     s.detector.MissingVoters(),
	}
}

func (s *Store) pingDue() {
	due := s.detector.Due()
	if len(due) == 0 {
		return
	}
	told := s.told()
	for _, probe := range due {
		s.sendPing(probe, told)
	}
}

func (s *Store) ping(address string) {
	s.sendPing(view.Probe{Address: address, Via: s.detector.Route(address)}, s.told())
}

func (s *Store) sendPing(probe view.Probe, told view.Told) {
	ping := s.detector.Ping(probe.Address, probe.Via, told)
	ping.View = s.viewFor(probe.Address)
	s.emit(core.Send{
		Destination: probe.Address,
		Via:         probe.Via,
		Message:     &nodepb.Envelope{Body: &nodepb.Envelope_VoterPing{VoterPing: ping}},
	})
}

// SetRelays names the nodes that may relay messages to core machines that can't be reached directly, best first.
func (s *Store) SetRelays(addresses []string) { s.detector.SetRelays(addresses) }

// Route is the internal address of the node by which messages to the address should go just now; empty: directly. Pings and
// pongs take the way that they are to prove.
func (s *Store) Route(address string) string { return s.detector.Route(address) }

// viewFor is the view if the node at the address was last seen with an older one.
func (s *Store) viewFor(address string) *nodepb.View {
	told := s.detector.Told(address)
	if told == nil || s.view == nil || told.Epoch >= s.view.GetEpoch() {
		return nil
	}
	return s.view
}

func (s *Store) receivePing(from core.Peer, ping *nodepb.VoterPing) {
	pong := s.detector.Pinged(from.Address, from.Via, ping, s.told())
	s.learn(ping.GetView())
	pong.Epoch = view.Epoch(s.view)
	pong.View = s.viewFor(from.Address)
	s.emit(core.Send{
		Destination: from.Address,
		Via:         from.Via,
		Message:     &nodepb.Envelope{Body: &nodepb.Envelope_VoterPong{VoterPong: pong}},
	})
	s.heard(from, ping.GetEpoch())
}

func (s *Store) receivePong(from core.Peer, pong *nodepb.VoterPong) {
	s.detector.Ponged(from.Address, from.Via, pong)
	s.learn(pong.GetView())
	if s.viewFor(from.Address) != nil {
		s.sendView(from.Address)
	}
	s.heard(from, pong.GetEpoch())
}

// heard follows up on a ping or pong.
func (s *Store) heard(from core.Peer, epoch uint64) {
	if s.view == nil {
		s.considerFounding()
	}
	s.joinDue()
}
