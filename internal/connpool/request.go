package connpool

import (
	"math"

	"kestrelspread/internal/invariant"
)

// RequestStream requests a stream to a server. It starts at once on the ready connection with the
// fewest streams, if one has capacity; else when a connection is established or a stream ends.
func (p *Pool) RequestStream(now float64, serverIndex int, request StreamRequest) {
	s := p.serverAt(serverIndex)
	if s.notAccepting {
		p.Counters.NotAccepting++
		p.effects.Reject(request, NotAccepting)
		return
	}
	if c := p.leastLoaded(s); c != nil && len(s.waiting) == 0 {
		p.startStream(c, request)
		return
	}
	// One connect at a time: a server that is warming up first gets one connection, and one that is
	// down one attempt.
	readyCount, connectingCount := s.countByState()
	if connectingCount == 0 && readyCount < p.settings.MaxConnections {
		if now < s.nextConnectAt {
			if readyCount == 0 {
				p.Counters.Backoffs++
				p.effects.Reject(request, Unreachable)
				return
			}
		} else if !p.dial(now, serverIndex) && readyCount == 0 {
			p.effects.Reject(request, NoDescriptor)
			return
		}
	}
	if len(s.waiting) >= p.settings.MaxWaiting {
		p.Counters.QueueFull++
		p.effects.Reject(request, QueueFull)
		return
	}
	s.waiting = append(s.waiting, request)
}

// CancelRequest withdraws a request that waits. Others are ignored.
func (p *Pool) CancelRequest(serverIndex int, request StreamRequest) {
	s := p.serverAt(serverIndex)
	for i, waiting := range s.waiting {
		if waiting == request {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// startStream grants a request a stream.
func (p *Pool) startStream(c *connection, request StreamRequest) {
	c.streams++
	c.deadline = math.Inf(1)
	p.effects.StartStream(c.id, request)
}

// serveWaiting grants streams to requests that wait at a server, in their order. If some still wait,
// it connects, or rejects them if nothing will bring them a stream.
func (p *Pool) serveWaiting(now float64, serverIndex int) {
	s := p.serverAt(serverIndex)
	for len(s.waiting) > 0 {
		c := p.leastLoaded(s)
		if c == nil {
			break
		}
		request := s.waiting[0]
		s.waiting = append(s.waiting[:0], s.waiting[1:]...)
		p.startStream(c, request)
	}
	if len(s.waiting) == 0 || s.notAccepting {
		return
	}
	readyCount, connectingCount := s.countByState()
	switch {
	case connectingCount > 0 || readyCount >= p.settings.MaxConnections:
	case now < s.nextConnectAt:
		if readyCount == 0 {
			p.rejectAll(s, Unreachable)
		}
	case !p.dial(now, serverIndex) && readyCount == 0:
		p.rejectAll(s, NoDescriptor)
	}
}

// rejectAll rejects all requests that wait at a server.
func (p *Pool) rejectAll(s *server, reason Reason) {
	waiting := s.waiting
	s.waiting = nil
	for _, request := range waiting {
		p.effects.Reject(request, reason)
	}
}

// StreamDone reports that a stream on a connection has ended.
func (p *Pool) StreamDone(now float64, id int) {
	c := p.connections[id]
	if c == nil {
		return
	}
	invariant.Check(c.streams > 0, "a stream that is over was begun")
	c.streams--
	if c.streams == 0 {
		c.deadline = now + p.settings.IdleTimeout
	}
	p.closeIfDrained(c)
	p.serveWaiting(now, c.serverIndex)
}
