package connpool

import (
	"slices"

	"kestrelspread/internal/invariant"
)

// UpdateServer reports the state of a server. If it accepts nothing new, the requests that wait are
// rejected, and its streams go on. moved: it has another address, so that open connections lead to the
// wrong place.
func (p *Pool) UpdateServer(now float64, serverIndex int, accepting, moved bool) {
	s := p.serverAt(serverIndex)
	s.notAccepting = !accepting
	if !accepting {
		p.Counters.NotAccepting += int64(len(s.waiting))
		p.rejectAll(s, NotAccepting)
	}
	if accepting && !moved {
		return
	}
	if moved {
		s.connectFailures, s.nextConnectAt = 0, 0
	}
	for _, c := range slices.Clone(s.connections) { // closing removes from the list
		if c.state == connecting {
			p.close(c)
			continue
		}
		c.state = draining
		p.closeIfDrained(c)
	}
	p.serveWaiting(now, serverIndex)
}

// RemoveServer closes the connections to a server, whose index may then be another's. No request may
// wait for it.
func (p *Pool) RemoveServer(serverIndex int) {
	s := p.serverAt(serverIndex)
	invariant.Check(len(s.waiting) == 0, "nobody waits for a server that is forgotten")
	for _, c := range slices.Clone(s.connections) {
		p.close(c)
	}
	p.servers[serverIndex] = nil
}
