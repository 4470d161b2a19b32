package policy

import "kestrelspread/internal/window"

const (
	minIdle          = 1000.  // ms since a server's last answer from which on the connection to it counts as idle
	idleSpan         = 20000. // ms over which attempts are counted
	minIdleLost      = 3      // attempts lost on idle connections from which on their share is considered
	maxIdleLostShare = 0.2    // of the attempts on idle connections; if more are lost, idle connections are faulty
)

// Indices of the counts in connectionHealth.
const (
	inUse = iota
	idle
	connectionUses
)

// connectionHealth counts attempts that were lost and that were answered, on connections in use and
// on idle ones.
type connectionHealth struct {
	lost, answered [connectionUses]*window.Counts
	idleWereFaulty bool // result of the last check
}

// idleConnectionsFaulty reports whether idle connections are dropped on the way without notice:
// attempts on them get lost, and more than twice as often as on connections in use.
func (c *connectionHealth) idleConnectionsFaulty(now float64) bool {
	lost, answered := c.lost[idle].Sum(now, idleSpan), c.answered[idle].Sum(now, idleSpan)
	lostInUse, answeredInUse := c.lost[inUse].Sum(now, idleSpan), c.answered[inUse].Sum(now, idleSpan)
	return lost >= minIdleLost && lost > maxIdleLostShare*(lost+answered) &&
		lost*(lostInUse+answeredInUse+1) > 2*lostInUse*(lost+answered)
}

// record counts the end of an attempt. Idle connections are counted separately: at a server that
// hangs or rejects, attempts get lost on all connections alike.
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

// recordConnection counts the end of an attempt at its connection. A failure to open a new
// connection counts as a loss on a connection in use, as it shows that the age of idle connections
// is not to blame.
func (p *Policy) recordConnection(attempt *attemptState, outcome Outcome) {
	if outcome != Answered && outcome != ConnectionReset && outcome != ConnectFailed {
		return
	}
	attempt.freshConnection = attempt.freshConnection || outcome == ConnectFailed
	p.connections.record(p.now, attempt, outcome != Answered)
}

// prepareConnection closes the idle connections to the attempt's server if they may have been
// dropped without notice. A trial gets a new connection too, unless opening one has failed at that
// server.
func (p *Policy) prepareConnection(attempt *attemptState) {
	server := p.servers[attempt.server]
	attempt.onIdleConnection = len(server.waiting) == 0 && server.answeredAt > 0 && p.now-server.answeredAt >= minIdle
	attempt.freshConnection = attempt.onIdleConnection &&
		(server.ejected && !server.connectFailed || p.connections.idleConnectionsFaulty(p.now))
	if attempt.freshConnection {
		p.out.CloseIdleConnections(attempt.server)
	}
}
