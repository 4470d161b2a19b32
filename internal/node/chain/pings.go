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
	for _, address := range due {
		s.sendPing(address, told)
	}
}

func (s *Store) ping(address string) { s.sendPing(address, s.told()) }

func (s *Store) sendPing(address string, told view.Told) {
	ping := s.detector.Ping(address, told)
	ping.View = s.viewFor(address)
	s.send(address, &nodepb.Envelope{Body: &nodepb.Envelope_VoterPing{VoterPing: ping}})
}

// viewFor is the view if the node at the address was last seen with an older one.
func (s *Store) viewFor(address string) *nodepb.View {
	told := s.detector.Told(address)
	if told == nil || s.view == nil || told.Epoch >= s.view.GetEpoch() {
		return nil
	}
	return s.view
}

func (s *Store) receivePing(from core.Peer, ping *nodepb.VoterPing) {
	pong := s.detector.Pinged(from.Address, ping, s.told())
	s.learn(ping.GetView())
	pong.Epoch = view.Epoch(s.view)
	pong.View = s.viewFor(from.Address)
	s.send(from.Address, &nodepb.Envelope{Body: &nodepb.Envelope_VoterPong{VoterPong: pong}})
	s.heard(from, ping.GetEpoch())
}

func (s *Store) receivePong(from core.Peer, pong *nodepb.VoterPong) {
	s.detector.Ponged(from.Address, pong)
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
