package link

import (
	"context"
	"net"
	"time"

	"kestrelspread/internal/node/nodepb"
)

// maxWriteSize is the size of a single write, in bytes: so much a peer must read within SendTimeout.
const maxWriteSize = 256 << 10

// peer is the sending side to one address. The Network's mutex guards its fields.
type peer struct {
	network *Network
	address string

	queue   queue
	writing bool // a goroutine runs write

	connection net.Conn // nil: none is open
	lastUsedAt time.Time
	idleTimer  *time.Timer

	backoff      time.Duration // after the last failure; 0 after a success
	dialFailures int           // consecutive
	retryAt      time.Time     // messages are dropped until then

	cancelDial context.CancelFunc // cancels the dial in progress; nil: none is
	redial     bool               // the dial in progress was canceled as the peer made contact: repeat it at once
	lastNodeID string             // of the newest incarnation that made contact from the address; empty: none has
}

// peer returns the sending side to the address, a new one if there is none. The mutex must be held.
func (n *Network) peer(address string) *peer {
	p := n.peers[address]
	if p == nil {
		p = &peer{network: n, address: address, lastUsedAt: time.Now()}
		p.idleTimer = time.AfterFunc(n.options.IdleTimeout, p.closeIdle)
		n.peers[address] = p
	}
	return p
}

// send queues the envelope, and starts a writer unless one runs. During the backoff the envelope is
// dropped. The mutex must be held.
func (p *peer) send(envelope *nodepb.Envelope) {
	n := p.network
	if p.backoff > 0 && time.Now().Before(p.retryAt) {
		n.counters.droppedBackoff.Add(1)
		return
	}
	if n.enqueue(&p.queue, envelope) && !p.writing {
		p.writing = true
		n.startSender(p.write)
	}
}

// write writes the queue, all that is pending in one batch, until it is empty. At most one goroutine
// runs it per peer, which keeps messages in order.
func (p *peer) write() {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for len(p.queue.pending) > 0 {
		taken := p.queue.take()
		connection := p.connection
		n.mutex.Unlock()
		connection, err := p.deliver(connection, taken.frames)
		n.mutex.Lock()
		n.release(&p.queue, taken)
		p.lastUsedAt = time.Now()
		if err != nil {
			p.handleFailure(connection, err)
			n.counters.droppedConnection.Add(uint64(taken.messages))
			continue
		}
		p.backoff = 0
	}
	p.writing = false
	n.endSender()
}

// deliver writes the frames to the connection, or, if that is nil, to a newly dialed one. It returns the
// connection used; nil where the dial failed.
func (p *peer) deliver(connection net.Conn, frames []byte) (net.Conn, error) {
	if connection == nil {
		dialed, err := p.dial()
		if err != nil {
			return nil, err
		}
		connection = dialed
	}
	for len(frames) > 0 {
		chunk := frames[:min(len(frames), maxWriteSize)]
		frames = frames[len(chunk):]
		if err := connection.SetWriteDeadline(time.Now().Add(p.network.options.SendTimeout)); err != nil {
			return connection, err
		}
		if _, err := connection.Write(chunk); err != nil {
			return connection, err
		}
	}
	return connection, nil
}

// dial opens a connection. A dial that hangs because the peer was down when it started is repeated once
// the peer has made contact.
func (p *peer) dial() (net.Conn, error) {
	n := p.network
	for {
		connection, err := p.dialOnce()
		n.mutex.Lock()
		again := err != nil && p.redial && !n.closed
		p.redial, p.cancelDial = false, nil
		n.mutex.Unlock()
		if !again {
			return connection, err
		}
	}
}

// dialOnce makes one attempt to connect, and counts it.
func (p *peer) dialOnce() (net.Conn, error) {
	n := p.network
	n.mutex.Lock()
	ctx, cancel := context.WithTimeout(n.closeContext, p.dialTimeout())
	p.cancelDial = cancel
	n.mutex.Unlock()
	defer cancel()
	n.counters.dials.Add(1)
	connection, err := n.dialer.DialContext(ctx, "tcp4", n.options.NetworkMap.Rewrite(p.address))
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		n.counters.dialFailures.Add(1)
		p.dialFailures++
		return nil, err
	}
	p.dialFailures = 0
	if n.closed {
		_ = connection.Close()
		return nil, net.ErrClosed
	}
	p.connection = connection
	n.goroutines.Go(func() { p.awaitClose(connection) })
	return connection, nil
}

// initialDialTimeout bounds the first dial after a success: if the peer was just starting, the opening
// packet was lost, and the kernel would repeat it only after a second. Each failure doubles it.
const initialDialTimeout = 200 * time.Millisecond

// maxDialDoublings keeps the shift of initialDialTimeout from overflowing; DialTimeout is reached before.
const maxDialDoublings = 10

// dialTimeout returns the time-out of the next dial.
func (p *peer) dialTimeout() time.Duration {
	limit := p.network.options.DialTimeout
	if p.dialFailures > maxDialDoublings {
		return limit
	}
	return min(limit, initialDialTimeout<<p.dialFailures)
}

// recordContact records that the node has just sent a message: its address can be reached, and a
// connection to an earlier incarnation there is dead. The mutex must be held.
func (p *peer) recordContact(nodeID string) {
	if p.lastNodeID == nodeID {
		return
	}
	previousNodeID := p.lastNodeID
	p.lastNodeID = nodeID
	p.backoff, p.retryAt, p.dialFailures = 0, time.Time{}, 0
	if p.cancelDial != nil {
		p.redial = true
		p.cancelDial()
	}
	if previousNodeID != "" {
		p.disconnect(p.connection)
	}
}

// awaitClose waits for the end of a dialed connection, on which nothing may arrive. So a peer that ended
// or became unreachable is noticed before a message is written to a dead connection and lost.
func (p *peer) awaitClose(connection net.Conn) {
	var unexpected [1]byte
	_, _ = connection.Read(unexpected[:])
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	p.disconnect(connection)
}

// handleFailure drops the queue and starts the backoff. connection is nil where none was established. The
// mutex must be held.
func (p *peer) handleFailure(connection net.Conn, err error) {
	n := p.network
	p.disconnect(connection)
	n.drop(&p.queue)
	p.backoff = min(max(2*p.backoff, n.options.MinBackoff), n.options.MaxBackoff)
	p.retryAt = p.lastUsedAt.Add(p.backoff)
	n.options.Log.Debug("link: peer not reached", "address", p.address, "error", err, "retry_in", p.backoff)
}

// disconnect closes the connection. The mutex must be held.
func (p *peer) disconnect(connection net.Conn) {
	if connection == nil {
		return
	}
	_ = connection.Close()
	if p.connection == connection {
		p.connection = nil
	}
}

// closeIdle forgets the peer if it was unused for IdleTimeout, else checks again when that may be
// so.
func (p *peer) closeIdle() {
	n := p.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return
	}
	idle := time.Since(p.lastUsedAt)
	if p.writing || idle < n.options.IdleTimeout {
		p.idleTimer.Reset(max(n.options.IdleTimeout-idle, n.options.IdleTimeout/10))
		return
	}
	p.close()
	delete(n.peers, p.address)
}

// close closes the peer's connection and stops its timer. The mutex must be held.
func (p *peer) close() {
	p.idleTimer.Stop()
	p.disconnect(p.connection)
}
