package connpool

import "math"

// Tick closes connections whose time is up and sends keepalive pings. It returns when it has to be
// called next, or +Inf.
func (p *Pool) Tick(now float64) float64 {
	next := math.Inf(1)
	for _, c := range p.connections {
		if c != nil && !p.expire(now, c) {
			p.pingIfSilent(now, c)
			next = min(next, p.nextCheck(c))
		}
	}
	return next
}

// expire closes a connection whose time is up, and reports whether it did.
func (p *Pool) expire(now float64, c *connection) bool {
	switch {
	case c.state == connecting && now >= c.deadline:
		// A connect that times out has failed: requests must not wait for it for ever.
		p.close(c)
		p.Counters.ConnectFailed++
		p.connectFailed(now, p.servers[c.serverIndex])
	case c.state == ready && c.streams == 0 && now >= c.deadline:
		p.Counters.IdleClosed++
		p.close(c)
	case c.pingSentAt > 0 && now >= c.pingSentAt+p.settings.KeepaliveTimeout:
		p.Counters.KeepaliveTimeouts++
		p.close(c)
		p.serveWaiting(now, c.serverIndex)
	default:
		return false
	}
	return true
}

// pingIfSilent sends a ping on a connection with streams on which nothing has come for long.
func (p *Pool) pingIfSilent(now float64, c *connection) {
	if p.settings.KeepaliveTime > 0 && c.pingSentAt == 0 && c.streams > 0 &&
		now >= c.lastReceivedAt+p.settings.KeepaliveTime {
		p.Counters.Pings++
		c.pingSentAt = now
		p.effects.Ping(c.id)
	}
}

// nextCheck returns when expire or pingIfSilent may have something to do.
func (p *Pool) nextCheck(c *connection) float64 {
	switch {
	case c.pingSentAt > 0:
		return c.pingSentAt + p.settings.KeepaliveTimeout
	case c.state == connecting || c.state == ready && c.streams == 0:
		return c.deadline
	case p.settings.KeepaliveTime > 0:
		return c.lastReceivedAt + p.settings.KeepaliveTime
	}
	return math.Inf(1)
}
