package voter

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/transport"
)

const (
	maxQueuedMessages = 512     // to one voter
	maxSendBytes      = 1 << 20 // in one call, unless one message alone is larger
	sendTimeout       = time.Second
	helloInterval     = time.Second
)

// peer is another voter, with the messages that wait to be sent to it.
type peer struct {
	*transport.Peer
	queue             chan []byte
	lastDestinationID atomic.Uint64 // the voter id that the latest message was for
}

// dialPeers makes the connections to the other voters; none is left open where one can't be made. Their loops are started
// only after that.
func (s *Server) dialPeers() error {
	for _, voter := range s.options.Voters {
		if voter.Name == s.options.Name {
			continue
		}
		conn, err := transport.Dial(voter.Addr)
		if err != nil {
			s.closePeers()
			return fmt.Errorf("voter: peer %s: %w", voter.Name, err)
		}
		s.peers[voter.Name] = &peer{Peer: conn, queue: make(chan []byte, maxQueuedMessages)}
	}
	return nil
}

func (s *Server) closePeers() {
	for _, p := range s.peers {
		p.Close()
	}
}

// startPeer starts the loops to another voter. They end at Close.
func (s *Server) startPeer(p *peer) {
	go s.sendLoop(p)
	go s.helloLoop(p)
}

// send queues a message for its voter. One that finds no place is dropped: raft sends again what
// matters.
func (s *Server) send(m *raftpb.Message) {
	p := s.peers[s.voterName(m.To)]
	if p == nil {
		return
	}
	encoded, err := transport.EncodeMessage(m)
	if err != nil {
		return
	}
	p.lastDestinationID.Store(m.To)
	select {
	case p.queue <- encoded:
		s.messagesSent.Add(1)
	default:
	}
}

// sendLoop sends messages to one voter, in order; what waits goes in one call. With a call for
// each message they waited for each other's round trips, and confirmations of the lead came later
// than leases tolerate.
func (s *Server) sendLoop(p *peer) {
	for {
		select {
		case <-s.quit:
			return
		case first := <-p.queue:
			if err := s.sendBatch(p, p.collect(first)); err != nil {
				id := p.lastDestinationID.Load()
				s.enqueue(func() {
					if s.replica != nil {
						s.replica.ReportUnreachable(id)
					}
				})
			}
		}
	}
}

// collect returns a message and those that wait behind it, up to maxSendBytes.
func (p *peer) collect(first []byte) [][]byte {
	batch, size := [][]byte{first}, len(first)
	for size < maxSendBytes {
		select {
		case next := <-p.queue:
			batch, size = append(batch, next), size+len(next)
		default:
			return batch
		}
	}
	return batch
}

func (s *Server) sendBatch(p *peer, batch [][]byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	return p.SendRaft(ctx, s.groupID.Load(), batch)
}

// helloLoop says hello to one voter, and passes on its hello, at once and then at an interval.
func (s *Server) helloLoop(p *peer) {
	for delay := time.Duration(0); ; delay = helloInterval {
		select {
		case <-s.quit:
			return
		case <-time.After(delay):
		}
		self := make(chan membership.Hello, 1)
		if !s.enqueue(func() { self <- s.membership.Self() }) {
			continue
		}
		select {
		case hello := <-self:
			s.exchangeHello(p, hello)
		case <-s.quit:
			return
		}
	}
}

func (s *Server) exchangeHello(p *peer, hello membership.Hello) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if reply, err := p.Hello(ctx, hello); err == nil {
		s.enqueue(func() { s.membership.HandleHello(Now(), reply) })
	}
}
