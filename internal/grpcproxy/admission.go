package grpcproxy

import "golang.org/x/net/http2"

const (
	// closingShare: one in closingShare of the connections may be one that was refused or has ended, and waits for its client to close.
	closingShare = 8
	// A client that connects for a call says SETTINGS at once, sends a frame or a header block in one go, and begins its call soon.
	// After these times it may have to give way to others, in ms.
	minSilentTime  = 250.
	minPartialTime = 1000.
	minUnusedTime  = 1000.
)

// connectionLimits returns how many connections of clients may be open, and how many more may be closing.
func (p *Proxy) connectionLimits() (open, closing int) {
	all := p.router.MaxFrontendClients()
	closing = max(all/closingShare, 1)
	return min(p.settings.Limits.MaxConnections, max(all-closing, 1)), closing
}

// admit makes room for a connection that has just been added. Over the limit the connection that wastes its place for longest gives
// way; where none does, the new one is rejected by a GOAWAY.
func (p *Proxy) admit(c *clientConn) {
	open, _ := p.connectionLimits()
	if !p.stoppedAccepting && (len(p.clientConns) <= open || p.evictClient()) {
		return
	}
	p.Counters.ConnectionsRejected++
	c.http2.GoAway(http2.ErrCodeEnhanceYourCalm)
	c.readStopped = true
	c.flush() // at once, so that it counts as closing before the next one comes
}

// evictClient closes the connection that came first of those that waste their place, and reports whether there was one.
func (p *Proxy) evictClient() bool {
	now := p.router.Now()
	for _, c := range p.clientOrder {
		if p.clientConns[c] && c.wastesPlace(now) {
			p.Counters.Unresponsive++
			c.abort()
			return true
		}
	}
	return false
}

// wastesPlace reports whether the client has had the time for its next step, and has not taken it.
func (c *clientConn) wastesPlace(now float64) bool {
	switch {
	case !c.http2.SettingsReceived():
		return now >= c.idleSince+minSilentTime
	case c.partialSince > 0:
		return now >= c.partialSince+minPartialTime
	default:
		return !c.hasCalled && c.idleSince > 0 && now >= c.idleSince+minUnusedTime
	}
}

// addClosing adds a connection that waits for its client to close. Over the limit the first of them is closed at once.
func (p *Proxy) addClosing(c *closingConn) {
	p.closingConns++
	p.closingOrder = append(p.closingOrder, c)
	_, limit := p.connectionLimits()
	for p.closingConns > limit && len(p.closingOrder) > 0 {
		p.closingOrder[0].abort()
		p.closingOrder[0] = nil
		p.closingOrder = p.closingOrder[1:]
	}
	if len(p.closingOrder) > 2*limit {
		p.dropClosed()
	}
}

// dropClosed forgets the connections that are closed by now.
func (p *Proxy) dropClosed() {
	open := p.closingOrder[:0]
	for _, c := range p.closingOrder {
		if !c.closed {
			open = append(open, c)
		}
	}
	clear(p.closingOrder[len(open):])
	p.closingOrder = open
}
