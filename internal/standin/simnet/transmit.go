package simnet

// scheduleTransmit has the connection transmitted at the end of the turn.
func (n *Network) scheduleTransmit(c *PeerConn) {
	for _, pending := range n.pendingWrites {
		if pending == c {
			return
		}
	}
	n.pendingWrites = append(n.pendingWrites, c)
}

// transmit has the network take what the broker wrote, as far as it does.
func (n *Network) transmit(c *PeerConn) {
	if c.WriteBlocked || len(c.unsent) == 0 {
		return
	}
	count := len(c.unsent)
	if c.MaxBytesPerTurn > 0 {
		count = min(count, c.MaxBytesPerTurn)
	}
	sent := c.unsent[:count:count]
	c.unsent = c.unsent[count:]
	c.sentBytes += int64(count)
	peer := c.peer
	n.After(n.DelayMs, func() { peer.Bytes(c, sent) })
	if !c.closed {
		n.written = append(n.written, c)
	}
}

// reportWritten reports the bytes that the network has taken to the broker.
func (n *Network) reportWritten() {
	written := n.written
	n.written = nil
	for _, c := range written {
		if !c.closed {
			n.Engine.Written(c.id, c.sentBytes)
		}
	}
}

// retryTransmitMs is the time until the network takes more of a connection with limited bytes per turn.
const retryTransmitMs = 0.1

// transmitAll transmits what the broker wrote in this turn, and closes connections that it has finished.
func (n *Network) transmitAll() {
	pending := n.pendingWrites
	n.pendingWrites = nil
	for _, c := range pending {
		if c.closed {
			continue
		}
		n.transmit(c)
		if len(c.unsent) > 0 && !c.WriteBlocked {
			n.After(retryTransmitMs, func() { n.scheduleTransmit(c) })
		}
		if c.brokerFinished && len(c.unsent) == 0 && !c.closeNotified {
			c.closeNotified = true
			c.Close() // the peer closes once it has read the end
			peer := c.peer
			n.After(n.DelayMs, func() { peer.Closed(c) })
		}
	}
}
