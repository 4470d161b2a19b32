package simnet

import (
	"fmt"
	"net/netip"

	"kestrelspread/internal/transport"
)

// Connect implements engine.Network: the broker connects to an address, which may answer later or never.
func (n *Network) Connect(addr netip.AddrPort) transport.Conn {
	c := n.addConn(&PeerConn{address: addr, listenIndex: -1})
	accept := n.listeners[addr]
	switch {
	case n.UnansweredAddresses[addr]:
	case accept == nil || n.RefusedAddresses[addr]:
		n.After(n.DelayMs, func() {
			if !c.closed {
				c.release()
				n.Engine.Closed(c.id, 0)
			}
		})
	default:
		n.After(n.DelayMs, func() {
			if c.closed {
				return
			}
			c.open = true
			c.peer = accept(c)
			n.Engine.Opened(c.id)
			c.peer.Opened(c)
		})
	}
	return c.id
}

// conn is the connection of a number. It panics if there is none: the broker has used one that it has closed.
func (n *Network) conn(id transport.Conn) *PeerConn {
	if int(id) >= len(n.conns) || n.conns[id] == nil {
		panic(fmt.Sprintf("connection %d is not held", id))
	}
	return n.conns[id]
}

// Write implements engine.Network: bytes are sent as far as the network takes them.
func (n *Network) Write(id transport.Conn, b []byte) {
	c := n.conn(id)
	if !c.open || c.brokerFinished {
		panic("written to a connection that is not open")
	}
	c.unsent = append(c.unsent, b...)
	n.scheduleTransmit(c)
}

// Retract implements engine.Network: it takes back what was written from an offset on, if the network has taken
// none of it.
func (n *Network) Retract(id transport.Conn, from int64) bool {
	c := n.conn(id)
	if !c.open || c.brokerFinished || from < c.sentBytes {
		return false
	}
	c.unsent = c.unsent[:min(int64(len(c.unsent)), from-c.sentBytes)]
	return true
}

// Finish implements engine.Network: the connection is closed after what was written has been sent.
func (n *Network) Finish(id transport.Conn) {
	c := n.conn(id)
	c.brokerFinished = true
	c.readPaused = false
	n.scheduleTransmit(c)
}

// Close implements engine.Network: the connection is closed at once.
func (n *Network) Close(id transport.Conn) {
	c := n.conn(id)
	c.release()
	if c.peer != nil {
		n.After(n.DelayMs, func() { c.peer.Closed(c) })
	}
}

// SetReading implements engine.Network: it pauses or resumes reading from a connection.
func (n *Network) SetReading(id transport.Conn, on bool) {
	c := n.conn(id)
	c.readPaused = !on
	if waiting := c.unread; on && len(waiting) > 0 {
		c.unread = nil
		for _, b := range waiting {
			n.After(0, func() { c.deliver(b) })
		}
	}
}

// SetAccepting implements engine.Network. Connections are always accepted here.
func (n *Network) SetAccepting(bool) {}

// CloseListeners implements engine.Network: no more connections to the broker are accepted.
func (n *Network) CloseListeners() bool { n.Unreachable = true; return true }

// SetTimer implements engine.Network: the broker is woken at a moment.
func (n *Network) SetTimer(momentMs float64) { n.wakeAtMs = momentMs }

// Stop implements engine.Network: the broker ends.
func (n *Network) Stop() { n.Stopped = true }

// ListenerIndex implements engine.Network: the number of the listening address of a connection.
func (n *Network) ListenerIndex(id transport.Conn) int { return n.conn(id).listenIndex }

// ConnOf is the connection of a number; nil: it was closed.
func (n *Network) ConnOf(id transport.Conn) *PeerConn { return n.conns[id] }
