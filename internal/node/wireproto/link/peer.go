package link

import (
	"context"
	"net"
	"time"

	"kestrelspread/internal/node/nodepb"
)

// maxWriteSize is the most that has to be taken in by a peer within SendTimeout.
const maxWriteSize = 256 << 10

// peer is the sending side towards one address. The Network's mutex guards its fields.
type peer struct {
	network *Network
	address string

	queue   queue
	writing bool // a goroutine runs write

	connection net.Conn // nil where none stands
	lastUsedAt time.Time
	idleTimer  *time.Timer

	backoff      time.Duration // of the last failure; 0 after a success
	dialFailures int           // in a row
	retryAt      time.Time     // messages are dropped until then

	cancelDial context.CancelFunc // ends the dial under way; nil where none is
	redial     bool               // the dial under way was ended as the peer has spoken: another follows at once
	lastNodeID string             // node id of the newest life that spoke from the address; empty: none has
}

// peer returns the sending side towards the address, and makes it where there is none. The mutex is held.
func (n *Network) peer(address string) *peer {
	p := n.peers[address]
	if p == nil {
		p = &peer{network: n, address: address, lastUsedAt: time.Now()}
		p.idleTimer = time.AfterFunc(n.options.IdleTimeout, p.closeIdle)
		n.peers[address] = p
	}
	return p
}

// send puts the envelope into the queue, and starts a writer where none runs. The mutex is held.
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

// write sends what waits, in one write for all of it, until nothing waits.
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

// deliver writes the frames to the connection, and dials one first where it is nil. It returns the connection used.
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

// dial opens a connection. One that hangs as the peer was down when it began is begun anew once the peer speaks.
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

func (p *peer) dialOnce() (net.Conn, error) {
	n := p.network
	n.mutex.Lock()
	ctx, cancel := context.WithTimeout(n.closeContext, p.dialTimeout())
	p.cancelDial = cancel
	n.mutex.Unlock()
	defer cancel()
	n.counters.dials.Add(1)
	connection, err := n.dialer.DialContext(ctx, "tcp4", p.address)
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

// initialDialTimeout bounds the first dial after a success: where the peer was just starting, its opening packet was lost, and the
// kernel would repeat it only after a second. Each failure doubles it.
const initialDialTimeout = 200 * time.Millisecond

func (p *peer) dialTimeout() time.Duration {
	limit := p.network.options.DialTimeout
	if p.dialFailures > 10 {
		return limit
	}
	return min(limit, initialDialTimeout<<p.dialFailures)
}

// recordContact notes that a life of the peer has just spoken: it can be reached, and a connection to a former life leads nowhere.
// The mutex is held.
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

// awaitClose waits for the end of a dialed connection, on which nothing is to arrive: so a peer that ended or became
// unreachable is known before something is written to a connection that no longer leads anywhere.
func (p *peer) awaitClose(connection net.Conn) {
	var unexpected [1]byte
	_, _ = connection.Read(unexpected[:])
	p.network.mutex.Lock()
	defer p.network.mutex.Unlock()
	p.disconnect(connection)
}

// handleFailure drops what waits, and keeps from trying again for a moment. connection is nil where none came up. The mutex
// is held.
func (p *peer) handleFailure(connection net.Conn, err error) {
	n := p.network
	p.disconnect(connection)
	n.drop(&p.queue)
	p.backoff = min(max(2*p.backoff, n.options.MinBackoff), n.options.MaxBackoff)
	p.retryAt = p.lastUsedAt.Add(p.backoff)
	n.options.Log.Debug("peer not reached", "address", p.address, "error", err, "retry_in", p.backoff)
}

// disconnect closes the connection. The mutex is held.
func (p *peer) disconnect(connection net.Conn) {
	if connection == nil {
		return
	}
	_ = connection.Close()
	if p.connection == connection {
		p.connection = nil
	}
}

// closeIdle forgets the peer where it wasn't used for IdleClose, else comes again when it may be so.
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

// close closes what the peer holds. The mutex is held.
func (p *peer) close() {
	p.idleTimer.Stop()
	p.disconnect(p.connection)
}
