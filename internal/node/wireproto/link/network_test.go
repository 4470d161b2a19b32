package link_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
	"kestrelspread/internal/node/wireproto/link"
)

const patience = 20 * time.Second

type message struct {
	from     core.Peer
	envelope *nodepb.Envelope
}

type node struct {
	*link.Network
	inbox chan message
}

// start opens a network on a free port, or on options.ListenAddress, until the test ends.
func start(t *testing.T, id string, options link.Options) *node {
	t.Helper()
	started := &node{inbox: make(chan message, 4096)}
	if options.ListenAddress == "" {
		options.ListenAddress = "127.0.0.1:0"
	}
	options.SelfID = id
	options.Receive = func(from core.Peer, envelope *nodepb.Envelope) { started.inbox <- message{from, envelope} }
	network, err := link.New(options)
	assert.NilError(t, err)
	t.Cleanup(network.Close)
	started.Network = network
	return started
}

func (n *node) next(t *testing.T) message {
	t.Helper()
	select {
	case received := <-n.inbox:
		return received
	case <-time.After(patience):
		t.Fatal("nothing received")
		return message{}
	}
}

func (n *node) flush(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, n.Flush(ctx))
}

func probe(sequence uint64) *nodepb.Envelope {
	return &nodepb.Envelope{Body: &nodepb.Envelope_Probe{Probe: &nodepb.Probe{Sequence: sequence}}}
}

func push(size int) *nodepb.Envelope {
	state := &nodepb.StateSnapshot{State: bytes.Repeat([]byte{1}, size)}
	return &nodepb.Envelope{Body: &nodepb.Envelope_StatePush{StatePush: &nodepb.StatePush{Snapshot: state}}}
}

// silentListener accepts connections by the kernel alone: nobody reads them.
func silentListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	assert.NilError(t, connection.SetDeadline(time.Now().Add(patience)))
	return connection
}

// expectClosed waits until the other side has closed the connection.
func expectClosed(t *testing.T, connection net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, connection)
	if timeout, is := err.(net.Error); is {
		assert.Assert(t, !timeout.Timeout(), "the connection stays open")
	}
}

func TestMessagesKeepOrder(t *testing.T) {
	a, b := start(t, "a/1", link.Options{}), start(t, "b/1", link.Options{})
	for sequence := range uint64(2000) {
		a.Send(b.Address(), probe(sequence))
	}
	for sequence := range uint64(2000) {
		received := b.next(t)
		assert.Equal(t, received.from, core.Peer{NodeID: "a/1", Address: a.Address()})
		assert.Equal(t, received.envelope.Protocol, wireproto.Protocol)
		assert.Equal(t, received.envelope.GetProbe().Sequence, sequence)
	}
	stats := a.Stats()
	assert.Equal(t, stats.Dials, uint64(1))
	assert.Equal(t, len(stats.Kinds), 1)
	assert.Equal(t, stats.Kinds[0].Kind.String(), "probe")
	assert.Equal(t, stats.Kinds[0].SentMessages, uint64(2000))
	assert.Equal(t, b.Stats().Kinds[0].ReceivedMessages, uint64(2000))
	assert.Equal(t, b.Stats().Kinds[0].ReceivedBytes, stats.Kinds[0].SentBytes)
}

func TestLargeMessageAndReplyAreDelivered(t *testing.T) {
	a, b := start(t, "a/1", link.Options{}), start(t, "b/1", link.Options{})
	large := push(wireproto.MaxFrame - 1024)
	a.Send(b.Address(), large)
	received := b.next(t)
	assert.Equal(t, len(received.envelope.GetStatePush().Snapshot.State), wireproto.MaxFrame-1024)
	b.Send(received.from.Address, probe(7))
	answer := a.next(t)
	assert.Equal(t, answer.from.NodeID, "b/1")
	assert.Equal(t, answer.envelope.GetProbe().Sequence, uint64(7))
}

func TestSendDoesNotModifyEnvelope(t *testing.T) {
	a, b := start(t, "a/1", link.Options{}), start(t, "b/1", link.Options{})
	envelope := probe(1)
	a.Send(b.Address(), envelope)
	a.Send(a.Address(), envelope)
	assert.Assert(t, proto.Equal(envelope, probe(1)))
	assert.Equal(t, b.next(t).from.NodeID, "a/1")
}

func TestMessagesToOwnAddressAreDeliveredInOrder(t *testing.T) {
	a := start(t, "a/1", link.Options{})
	large := push(100 << 10)
	a.Send(a.Address(), large)
	large.GetStatePush().Snapshot.State[0] = 9
	for sequence := range uint64(500) {
		a.Send(a.Address(), probe(sequence))
	}
	received := a.next(t)
	assert.Equal(t, received.from, core.Peer{NodeID: "a/1", Address: a.Address()})
	assert.Equal(t, received.envelope.GetStatePush().Snapshot.State[0], byte(1))
	for sequence := range uint64(500) {
		assert.Equal(t, a.next(t).envelope.GetProbe().Sequence, sequence)
	}
	assert.Equal(t, a.Stats().Dials, uint64(0))
}

func TestReceiveMaySend(t *testing.T) {
	answered := make(chan struct{})
	var network *link.Network
	ready := make(chan struct{})
	network, err := link.New(link.Options{
		ListenAddress: "127.0.0.1:0",
		Receive: func(from core.Peer, envelope *nodepb.Envelope) {
			<-ready
			if envelope.GetProbe().GetSequence() == 1 {
				network.Send(from.Address, probe(2))
				return
			}
			close(answered)
		},
	})
	assert.NilError(t, err)
	close(ready)
	defer network.Close()
	network.Send(network.Address(), probe(1))
	select {
	case <-answered:
	case <-time.After(patience):
		t.Fatal("no answer")
	}
}

func TestUnknownFramesAreCountedAndSkipped(t *testing.T) {
	a := start(t, "a/1", link.Options{})
	connection := dial(t, a.Address())
	other := probe(1)
	other.Protocol = wireproto.Protocol + 1
	good := probe(2)
	good.Protocol = wireproto.Protocol
	var stream []byte
	for _, envelope := range []*nodepb.Envelope{other, {Protocol: wireproto.Protocol}, good} {
		var err error
		stream, err = wireproto.Append(stream, envelope)
		assert.NilError(t, err)
	}
	_, err := connection.Write(stream)
	assert.NilError(t, err)
	assert.Equal(t, a.next(t).envelope.GetProbe().Sequence, uint64(2))
	assert.Equal(t, a.Stats().OtherProtocol, uint64(1))
	assert.Equal(t, a.Stats().Undecodable, uint64(1))
	assert.Equal(t, a.Stats().BrokenStreams, uint64(0))
}

func TestBrokenStreamIsClosedAndCounted(t *testing.T) {
	valid, err := wireproto.Append(nil, push(100))
	assert.NilError(t, err)
	oversized := binary.BigEndian.AppendUint32(nil, wireproto.MaxFrame+1)
	oversized = append(oversized, valid[4:]...)
	tests := map[string][]byte{
		"oversized": oversized,
		"garbage":   []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"cut short": valid[:len(valid)-1],
	}
	for name, stream := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := start(t, "a/1", link.Options{}), start(t, "b/1", link.Options{})
			connection := dial(t, a.Address())
			_, err := connection.Write(stream)
			assert.NilError(t, err)
			assert.NilError(t, connection.(*net.TCPConn).CloseWrite())
			expectClosed(t, connection)
			assert.Equal(t, a.Stats().BrokenStreams, uint64(1))
			b.Send(a.Address(), probe(3))
			assert.Equal(t, a.next(t).envelope.GetProbe().Sequence, uint64(3))
		})
	}
}

func TestRestartedPeerIsReached(t *testing.T) {
	a := start(t, "a/1", link.Options{MinBackoff: time.Millisecond, MaxBackoff: 5 * time.Millisecond})
	former := start(t, "b/1", link.Options{})
	address := former.Address()
	a.Send(address, probe(1))
	former.next(t)
	former.Close()

	again := start(t, "b/2", link.Options{ListenAddress: address})
	deadline := time.After(patience)
	for sequence := uint64(2); ; sequence++ {
		a.Send(address, probe(sequence))
		a.flush(t)
		select {
		case received := <-again.inbox:
			assert.Equal(t, received.from.NodeID, "a/1")
			return
		case <-deadline:
			t.Fatal("not reached")
		default:
		}
	}
}

func TestMessagesAreDroppedDuringBackoff(t *testing.T) {
	listener := silentListener(t)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	a := start(t, "a/1", link.Options{MinBackoff: time.Hour, MaxBackoff: time.Hour})
	a.Send(address, probe(1))
	a.flush(t)
	a.Send(address, probe(2))
	a.flush(t)
	stats := a.Stats()
	assert.Equal(t, stats.Dials, uint64(1))
	assert.Equal(t, stats.DialFailures, uint64(1))
	assert.Equal(t, stats.DroppedConnection, uint64(1))
	assert.Equal(t, stats.DroppedBackoff, uint64(1))
}

func TestContactEndsBackoff(t *testing.T) {
	listener := silentListener(t)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	a := start(t, "a/1", link.Options{MinBackoff: time.Hour, MaxBackoff: time.Hour})
	a.Send(address, probe(1))
	a.flush(t)

	b := start(t, "b/1", link.Options{ListenAddress: address})
	b.Send(a.Address(), probe(2))
	a.next(t)
	a.Send(address, probe(3))
	assert.Equal(t, b.next(t).envelope.GetProbe().Sequence, uint64(3))
}

func TestContactRepeatsHangingDial(t *testing.T) {
	address := hangingAddress(t)
	a := start(t, "a/1", link.Options{DialTimeout: time.Hour})
	a.Send(address, probe(1))
	waitForDials(t, a, 1)
	b := start(t, "b/1", link.Options{SelfAddress: address})
	b.Send(a.Address(), probe(2))
	a.next(t)
	waitForDials(t, a, 2)
	b.Send(a.Address(), probe(3))
	a.next(t)
	assert.Equal(t, a.Stats().Dials, uint64(2))
}

func TestFirstDialTimesOutEarly(t *testing.T) {
	address := hangingAddress(t)
	a := start(t, "a/1", link.Options{DialTimeout: time.Hour, MinBackoff: time.Hour, MaxBackoff: time.Hour})
	a.Send(address, probe(1))
	a.flush(t)
	assert.Equal(t, a.Stats().DialFailures, uint64(1))
}

// waitForDials waits until so many dials have begun.
func waitForDials(t *testing.T, n *node, dials uint64) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(patience)
	for n.Stats().Dials < dials {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("%d dials of %d", n.Stats().Dials, dials)
		}
	}
}

// hangingAddress returns an address where connections neither come up nor fail: a listener whose queue is full.
func hangingAddress(t *testing.T) string {
	t.Helper()
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(descriptor) })
	assert.NilError(t, unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(descriptor, 0))
	bound, err := unix.Getsockname(descriptor)
	assert.NilError(t, err)
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*unix.SockaddrInet4).Port}
	for {
		connection, err := net.DialTimeout("tcp4", address.String(), 100*time.Millisecond)
		if err != nil {
			return address.String()
		}
		t.Cleanup(func() { _ = connection.Close() })
	}
}

func TestHangingDialTimesOut(t *testing.T) {
	address := hangingAddress(t)
	a := start(t, "a/1", link.Options{DialTimeout: 50 * time.Millisecond, MinBackoff: time.Hour, MaxBackoff: time.Hour})
	for sequence := range uint64(10) {
		a.Send(address, probe(sequence))
	}
	a.flush(t)
	assert.Equal(t, a.Stats().DialFailures, uint64(1))
	assert.Equal(t, a.Stats().DroppedConnection+a.Stats().DroppedBackoff, uint64(10))
}

func TestCloseCancelsHangingDial(t *testing.T) {
	address := hangingAddress(t)
	a := start(t, "a/1", link.Options{DialTimeout: time.Hour})
	a.Send(address, probe(1))
	a.Close()
}

func TestQueueOfUnresponsivePeerIsBounded(t *testing.T) {
	const bound = 1 << 20
	listener := silentListener(t)
	a := start(t, "a/1", link.Options{SendTimeout: 300 * time.Millisecond, MaxQueueBytes: bound, MinBackoff: time.Hour, MaxBackoff: time.Hour})
	reader := start(t, "b/1", link.Options{})
	// More than the sockets' buffers and the queue hold together.
	for range 1024 {
		a.Send(listener.Addr().String(), push(64<<10))
	}
	assert.Assert(t, a.Stats().DroppedQueueFull > 0)
	a.Send(reader.Address(), probe(1))
	assert.Equal(t, reader.next(t).envelope.GetProbe().Sequence, uint64(1))
	a.flush(t)
	assert.Assert(t, a.Stats().DroppedConnection > 0)
	before := a.Stats().DroppedBackoff
	a.Send(listener.Addr().String(), probe(2))
	assert.Equal(t, a.Stats().DroppedBackoff, before+1)
}

func TestTotalQueueSizeIsBounded(t *testing.T) {
	address := hangingAddress(t)
	a := start(t, "a/1", link.Options{MaxTotalBytes: 100 << 10, DialTimeout: time.Hour})
	reader := start(t, "b/1", link.Options{})
	a.Send(address, push(99<<10))
	a.Send(reader.Address(), push(2<<10))
	assert.Equal(t, a.Stats().DroppedQueueFull, uint64(1))
	a.Send(reader.Address(), probe(1))
	assert.Equal(t, reader.next(t).envelope.GetProbe().Sequence, uint64(1))
}

func TestOversizedMessageIsDroppedAlone(t *testing.T) {
	a, b := start(t, "a/1", link.Options{}), start(t, "b/1", link.Options{})
	a.Send(b.Address(), push(wireproto.MaxFrame))
	a.Send(b.Address(), probe(1))
	assert.Equal(t, b.next(t).envelope.GetProbe().Sequence, uint64(1))
	assert.Equal(t, a.Stats().DroppedUnencodable, uint64(1))
}

func TestUnusedDialedConnectionIsClosed(t *testing.T) {
	listener := silentListener(t)
	a := start(t, "a/1", link.Options{IdleTimeout: 20 * time.Millisecond})
	for range 2 {
		a.Send(listener.Addr().String(), probe(1))
		connection, err := listener.Accept()
		assert.NilError(t, err)
		assert.NilError(t, connection.SetDeadline(time.Now().Add(patience)))
		read, err := io.Copy(io.Discard, connection)
		assert.NilError(t, err)
		assert.Assert(t, read > 0)
		assert.NilError(t, connection.Close())
	}
}

func TestIdleAcceptedConnectionIsClosed(t *testing.T) {
	a := start(t, "a/1", link.Options{AcceptedIdleTimeout: 20 * time.Millisecond})
	expectClosed(t, dial(t, a.Address()))
	assert.Equal(t, a.Stats().BrokenStreams, uint64(0))
}

func TestAcceptedConnectionsAreBounded(t *testing.T) {
	a := start(t, "a/1", link.Options{MaxAccepted: 1})
	first := dial(t, a.Address())
	encoded, err := wireproto.Append(nil, &nodepb.Envelope{Protocol: wireproto.Protocol, Body: probe(1).Body})
	assert.NilError(t, err)
	_, err = first.Write(encoded)
	assert.NilError(t, err)
	a.next(t)
	expectClosed(t, dial(t, a.Address()))
	assert.Equal(t, a.Stats().AcceptedRejected, uint64(1))
	_, err = first.Write(encoded)
	assert.NilError(t, err)
	a.next(t)
}

func TestSendAfterCloseDoesNothing(t *testing.T) {
	a, b := start(t, "a/1", link.Options{}), start(t, "b/1", link.Options{})
	a.Close()
	a.Close()
	a.Send(b.Address(), probe(1))
	a.Send(a.Address(), probe(1))
	a.flush(t)
	assert.Equal(t, len(a.Stats().Kinds), 0)
}

func TestFlushEndsWithItsContext(t *testing.T) {
	address := hangingAddress(t)
	a := start(t, "a/1", link.Options{DialTimeout: time.Hour})
	a.Send(address, probe(1))
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, a.Flush(ctx), context.DeadlineExceeded)
}

func TestAddressInUseIsAnError(t *testing.T) {
	a := start(t, "a/1", link.Options{})
	_, err := link.New(link.Options{ListenAddress: a.Address()})
	assert.ErrorContains(t, err, "cannot_listen")
}
