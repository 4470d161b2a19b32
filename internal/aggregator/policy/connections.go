package policy

import "kestrelspread/internal/window"

const (
	minIdle          = 1000.  // ms since a server's last answer: shorter, a connection to it is in use
	idleSpan         = 20000. // ms over which losses are counted
	minIdleLost      = 3      // attempts lost on idle connections before a share of them counts
	maxIdleLostShare = 0.2    // of what was sent on them
)

// Indices of connectionHealth's counts.
const (
	inUse = iota
	idle
	connectionUses
)

// connectionHealth counts what was lost and what was answered on connections that are in use and on
// idle ones.
type connectionHealth struct {
	lost, answered [connectionUses]*window.Counts
	idleWereFaulty bool // idle ones were found faulty when last looked at
}

// idleConnectionsFaulty tells whether idle connections are dropped unseen on the way: attempts over them are
// lost, and more than twice as often as over those in use.
func (c *connectionHealth) idleConnectionsFaulty(now float64) bool {
	lost, answered := c.lost[idle].Sum(now, idleSpan), c.answered[idle].Sum(now, idleSpan)
	lostInUse, answeredInUse := c.lost[inUse].Sum(now, idleSpan), c.answered[inUse].Sum(now, idleSpan)
	return lost >= minIdleLost && lost > maxIdleLostShare*(lost+answered) &&
		lost*(lostInUse+answeredInUse+1) > 2*lostInUse*(lost+answered)
}

// record counts an attempt's end, apart for idle connections: servers that hang or reject lose both
// alike.
func (c *connectionHealth) record(now float64, attempt *attemptState, lost bool) {
	use, counts := inUse, &c.answered
	if attempt.onIdleConnection && !attempt.freshConnection {
		use = idle
	}
	if lost {
		counts = &c.lost
	}
	counts[use].Add(now, 1)
}

// recordConnection learns from an attempt's end. A new connection that fails speaks against the age
// of idle ones.
func (p *Policy) recordConnection(attempt *attemptState, how Outcome) {
	if how != Answered && how != Reset && how != ConnectFailed {
		return
	}
	attempt.freshConnection = attempt.freshConnection || how == ConnectFailed
	p.connections.record(p.now, attempt, how != Answered)
}

// prepareConnection closes the idle connections to the attempt's server where they may have been
// dropped unseen. Trials take a new one too, unless new ones failed there.
func (p *Policy) prepareConnection(attempt *attemptState) {
	server := p.servers[attempt.server]
	attempt.onIdleConnection = len(server.waiting) == 0 && server.answeredAt > 0 && p.now-server.answeredAt >= minIdle
	attempt.freshConnection = attempt.onIdleConnection &&
		(server.ejected && !server.connectFailed || p.connections.idleConnectionsFaulty(p.now))
	if attempt.freshConnection {
		p.out.Close(attempt.server)
	}
}
