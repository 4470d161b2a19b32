package link

import (
	"errors"
	"io"
	"net"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/wireproto"
)

// acceptRetryDelay follows an accept that failed, as it does where there are no descriptors left.
const acceptRetryDelay = 100 * time.Millisecond

// accept takes connections until the listener is closed.
func (n *Network) accept() {
	defer n.goroutines.Done()
	for {
		connection, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.options.Log.Warn("accept failed", "error", err)
			n.waitBeforeAccept(acceptRetryDelay)
			continue
		}
		n.serve(connection)
	}
}

// waitBeforeAccept waits, or until the Network is closed.
func (n *Network) waitBeforeAccept(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.closeContext.Done():
	}
}

// serve starts to read a connection where there is room for it.
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

// read passes on what arrives on an accepted connection until it ends.
func (n *Network) read(connection net.Conn) {
	defer n.closeAccepted(connection)
	if err := setAcceptedOptions(connection, n.options); err != nil {
		n.options.Log.Debug("socket option not set", "error", err)
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

// receive passes on the next message, and notes its sender where it is another than the last one. It returns an error
// where the stream is of no more use.
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

// recordContact notes that a node has opened a connection and spoken.
func (n *Network) recordContact(from core.Peer) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p := n.peers[from.Address]; p != nil {
		p.recordContact(from.NodeID)
	}
}

// streamEnded counts and logs the end of a stream, unless its sender closed it properly or it was idle.
func (n *Network) streamEnded(connection net.Conn, err error) {
	if !wireproto.IsBrokenStream(err) {
		return
	}
	n.counters.brokenStreams.Add(1)
	n.options.Log.Debug("stream broken", "from", connection.RemoteAddr().String(), "error", err)
}

func (n *Network) closeAccepted(connection net.Conn) {
	_ = connection.Close()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.accepted, connection)
}

// idleReader reads a connection, and fails where nothing arrives for limit.
type idleReader struct {
	connection net.Conn
	limit      time.Duration
}

var _ io.Reader = (*idleReader)(nil)

func (r *idleReader) Read(buffer []byte) (int, error) {
	if err := r.connection.SetReadDeadline(time.Now().Add(r.limit)); err != nil {
		return 0, err
	}
	return r.connection.Read(buffer)
}
