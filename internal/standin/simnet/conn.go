package simnet

import (
	"net/netip"

	"kestrelspread/internal/transport"
)

// Peer is the other end of a connection.
type Peer interface {
	Opened(c *PeerConn)
	Bytes(c *PeerConn, b []byte)
	Closed(c *PeerConn)
}

// PeerConn is a connection of the broker, as its peer has it.
type PeerConn struct {
	network         *Network
	id              transport.Conn
	listenIndex     int
	address         netip.AddrPort
	peer            Peer
	open            bool // established, for the broker
	closed          bool
	readPaused      bool
	unread          [][]byte // sent to the broker while it does not read
	unsent          []byte   // written by the broker, not yet taken by the network
	sentBytes       int64
	closeNotified   bool
	WriteBlocked    bool // the network takes nothing that the broker writes
	MaxBytesPerTurn int  // that the network takes; 0: all
	brokerFinished  bool // the broker has written all
	openedAtMs      float64
}

// OpenedAtMs is when the connection was established.
func (c *PeerConn) OpenedAtMs() float64 { return c.openedAtMs }

// Send has bytes arrive at the broker, in random chunks if the network splits them.
func (c *PeerConn) Send(data []byte) {
	n := c.network
	if n == nil || c.closed {
		return
	}
	data = append([]byte(nil), data...)
	for len(data) > 0 {
		size := len(data)
		if n.SplitsBytes && size > 1 {
			size = 1 + n.Random.IntN(size)
		}
		chunk := data[:size]
		data = data[size:]
		n.After(n.DelayMs, func() { c.deliver(chunk) })
	}
}

// deliver passes bytes to the broker, or keeps them while it does not read. A broker that has finished learns that they arrived.
func (c *PeerConn) deliver(b []byte) {
	if c.closed || c.brokerFinished && !c.open {
		return
	}
	if c.readPaused {
		c.unread = append(c.unread, b)
		return
	}
	if c.brokerFinished {
		c.network.Engine.Received(c.id, nil, c.network.NowMs)
		return
	}
	c.network.Engine.Received(c.id, b, c.network.NowMs)
}

// Close closes the connection from the side of the peer.
func (c *PeerConn) Close() {
	if c.network == nil || c.closed {
		c.closed = true
		return
	}
	c.network.After(c.network.DelayMs, func() {
		if !c.closed {
			c.release()
			c.network.Engine.Closed(c.id, c.sentBytes)
		}
	})
}

// release removes the connection from the network. Its number may be reused from the next turn on.
func (c *PeerConn) release() {
	c.closed = true
	c.open = false
	c.network.conns[c.id] = nil
	c.network.releasedIDs = append(c.network.releasedIDs, c.id)
}

// IsClosed reports whether the connection was closed.
func (c *PeerConn) IsClosed() bool { return c.closed }

// UnblockWrites has the network take bytes again.
func (c *PeerConn) UnblockWrites() {
	c.WriteBlocked = false
	if !c.closed {
		c.network.scheduleTransmit(c)
	}
}

// Backlog is the number of bytes that the network has not taken yet.
func (c *PeerConn) Backlog() int { return len(c.unsent) }

// Now is the time of the network, in ms.
func (c *PeerConn) Now() float64 { return c.network.NowMs }
