package link

import (
	"errors"
	"io"
	"net"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/wireproto"
)

// acceptRetryDelay follows a failed accept, which fails for instance while no descriptors are free.
const acceptRetryDelay = 100 * time.Millisecond

// accept accepts connections until the listener is closed.
func (n *Network) accept() {
	defer n.goroutines.Done()
	for {
		connection, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.options.Log.Warn("link: accept failed", "error", err)
			n.waitBeforeAccept(acceptRetryDelay)
			continue
		}
		n.serve(connection)
	}
}

// waitBeforeAccept waits for delay, or until the Network is closed.
func (n *Network) waitBeforeAccept(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.closeContext.Done():
	}
}

// serve starts to read an accepted connection, or closes it where there are too many.
func (n *Network) serve(connection net.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed || len(n.accepted) >= n.options.MaxAccepted {
		n.counters.acceptedRejected.Add(1)
		_ = connection.Close()
		return
	}
	n.counters.accepted.Add(1)
	n.accepted[connection] = struct{}{}
	n.goroutines.Go(func() { n.read(connection) })
}

// read receives the messages of an accepted connection until it ends.
func (n *Network) read(connection net.Conn) {
	defer n.closeAccepted(connection)
	if err := setAcceptedOptions(connection, n.options); err != nil {
		n.options.Log.Debug("link: socket option not set", "error", err)
	}
	reader := wireproto.NewReader(&idleReader{connection: connection, limit: n.options.AcceptedIdleTimeout})
	var sender core.Peer // of the last message
	for {
		err := n.receive(reader, &sender)
		if err == nil {
			continue
		}
		n.streamEnded(connection, err)
		return
	}
}

// receive hands the next message to Options.Receive, and records a contact where its sender differs from
// the last one. An error says that the stream can't be used any more.
func (n *Network) receive(reader *wireproto.Reader, last *core.Peer) error {
	envelope, err := reader.Next()
	switch {
	case err == nil:
		n.counters.received(wireproto.KindOf(envelope), reader.FrameSize())
		from := core.Peer{NodeID: envelope.SenderId, Address: envelope.SenderAddress}
		if from != *last {
			*last = from
			n.recordContact(from)
		}
		n.options.Receive(from, envelope)
		return nil
	case wireproto.IsOtherProtocol(err):
		n.counters.otherProtocol.Add(1)
		return nil
	case wireproto.Skippable(err):
		n.counters.undecodable.Add(1)
		return nil
	default:
		return err
	}
}

// recordContact records that a node has opened a connection and sent a message.
func (n *Network) recordContact(from core.Peer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p := n.peers[from.Address]; p != nil {
		p.recordContact(from.NodeID)
	}
}

// streamEnded counts and logs a stream that broke; one that its sender closed, or that was idle, didn't.
func (n *Network) streamEnded(connection net.Conn, err error) {
	if !wireproto.IsBrokenStream(err) {
		return
	}
	n.counters.brokenStreams.Add(1)
	n.options.Log.Debug("link: stream broken", "from", connection.RemoteAddr().String(), "error", err)
}

// closeAccepted closes an accepted connection and forgets it.
func (n *Network) closeAccepted(connection net.Conn) {
	_ = connection.Close()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.accepted, connection)
}

// idleReader reads a connection; a read fails where nothing arrives for limit.
type idleReader struct {
	connection net.Conn
	limit      time.Duration
}

var _ io.Reader = (*idleReader)(nil)

// Read implements io.Reader.
func (r *idleReader) Read(buffer []byte) (int, error) {
	if err := r.connection.SetReadDeadline(time.Now().Add(r.limit)); err != nil {
		return 0, err
	}
	return r.connection.Read(buffer)
}
