package connpool

import "math"

// dial begins a connection. It reports whether a file descriptor was left.
func (p *Pool) dial(now float64, serverIndex int) bool {
	c := &connection{
		id:             len(p.connections),
		serverIndex:    serverIndex,
		peerMaxStreams: p.settings.MaxStreams,
		deadline:       now + p.settings.ConnectTimeout,
		lastReceivedAt: now,
	}
	if n := len(p.freeIDs); n > 0 {
		c.id, p.freeIDs = p.freeIDs[n-1], p.freeIDs[:n-1]
		p.connections[c.id] = c
	} else {
		p.connections = append(p.connections, c)
	}
	s := p.serverAt(serverIndex)
	s.connections = append(s.connections, c)
	p.Counters.Opened++
	if p.effects.Dial(serverIndex, c.id) {
		return true
	}
	p.remove(c)
	return false
}

// remove forgets a connection, and frees its identifier.
func (p *Pool) remove(c *connection) {
	s := p.servers[c.serverIndex]
	for i, other := range s.connections {
		if other == c {
			s.connections = append(s.connections[:i], s.connections[i+1:]...)
			break
		}
	}
	p.connections[c.id] = nil
	p.freeIDs = append(p.freeIDs, c.id)
}

// close removes a connection and closes it.
func (p *Pool) close(c *connection) {
	p.remove(c)
	p.effects.Close(c.id)
}

func (p *Pool) closeIfDrained(c *connection) {
	if c.state == draining && c.streams == 0 {
		p.close(c)
	}
}

// Connected reports SETTINGS of a connection's peer: the first establish it. maxStreams is how many
// streams the peer accepts.
func (p *Pool) Connected(now float64, id, maxStreams int) {
	c := p.connections[id]
	c.peerMaxStreams, c.lastReceivedAt = maxStreams, now
	if c.state == connecting {
		c.state, c.deadline = ready, now+p.settings.IdleTimeout
		p.servers[c.serverIndex].connectFailures = 0
	}
	p.serveWaiting(now, c.serverIndex)
}

// Received reports that bytes have come on a connection.
func (p *Pool) Received(now float64, id int) {
	if c := p.connections[id]; c != nil {
		c.lastReceivedAt, c.pingSentAt = now, 0
	}
}

// ConnectionLost reports that a connection has broken or couldn't be established. The caller ends its
// streams.
func (p *Pool) ConnectionLost(now float64, id int) {
	c := p.connections[id]
	if c == nil {
		return
	}
	p.remove(c)
	if c.state == connecting {
		p.Counters.ConnectFailed++
		p.connectFailed(now, p.servers[c.serverIndex])
		return
	}
	p.Counters.Lost++
	p.serveWaiting(now, c.serverIndex)
}

// connectFailed begins a backoff, longer each time, and rejects the requests that wait if no
// connection is ready.
func (p *Pool) connectFailed(now float64, s *server) {
	doublings := min(s.connectFailures, maxBackoffDoublings)
	backoff := min(p.settings.InitialBackoff*math.Pow(2, float64(doublings)), p.settings.MaxBackoff)
	s.connectFailures++
	s.nextConnectAt = now + backoff*(minJitter+jitterRange*p.random())
	if readyCount, _ := s.countByState(); readyCount == 0 {
		p.rejectAll(s, Unreachable)
	}
}

// GoAway reports that the peer of a connection accepts no new streams on it.
func (p *Pool) GoAway(now float64, id int) {
	c := p.connections[id]
	if c == nil || c.state == draining {
		return
	}
	p.Counters.GoAways++
	neverReady := c.state == connecting
	c.state = draining
	if neverReady {
		p.connectFailed(now, p.servers[c.serverIndex])
	}
	p.closeIfDrained(c)
	p.serveWaiting(now, c.serverIndex)
}
