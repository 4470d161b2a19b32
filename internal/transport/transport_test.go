package transport

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// testHandler is a handler that calls a test's functions.
type testHandler struct {
	loop     *Loop
	endTurn  func() // or nil
	opened   func(c Conn)
	accepted func(c Conn)
	bytes    func(c Conn, b []byte, receivedAt float64)
	closed   func(c Conn, upTo int64)
	upTo     int64
	now      float64
	panics   int
	notified func(what int32) // or nil: a notification stops the loop
}

func (h *testHandler) BeginTurn(now float64)                         { h.now = now }
func (h *testHandler) Accepted(c Conn)                               { h.accepted(c) }
func (h *testHandler) AcceptFailed()                                 {}
func (h *testHandler) Opened(c Conn)                                 { h.opened(c) }
func (h *testHandler) Received(c Conn, b []byte, receivedAt float64) { h.bytes(c, b, receivedAt) }
func (h *testHandler) Written(_ Conn, upTo int64)                    { h.upTo = upTo }
func (h *testHandler) Closed(c Conn, upTo int64)                     { h.closed(c, upTo) }
func (h *testHandler) Notified(what int32) {
	if h.notified != nil {
		h.notified(what)
		return
	}
	h.loop.Stop()
}
func (h *testHandler) Panicked(Conn, any, []byte) { h.panics++ }
func (h *testHandler) EndTurn() bool {
	if h.endTurn != nil {
		h.endTurn()
	}
	return false
}

// start returns a handler with a loop that listens on a loopback address, and that address.
func start(t *testing.T) (*testHandler, string) {
	t.Helper()
	loop, err := New(&Pool{Size: 1 << 10, Max: 4})
	if err != nil {
		t.Fatal(err)
	}
	if err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	h := &testHandler{loop: loop, accepted: func(Conn) {}, opened: func(Conn) {}, closed: func(Conn, int64) {},
		bytes: func(Conn, []byte, float64) {}}
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(loop.Port(0)))
	return h, address.String()
}

// dial connects to an address until the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// TestArrivalTimeIsKnownAfterStall sends a byte and then blocks the loop for 60 ms before it reads:
// the reported time must be that of the arrival, not of the read.
func TestArrivalTimeIsKnownAfterStall(t *testing.T) {
	h, address := start(t)
	c := dial(t, address)
	oldest := 0.0
	stall := func() {
		c.Write([]byte("x"))
		time.Sleep(60 * time.Millisecond)
	}
	h.accepted = func(Conn) { stall() } // the byte written here is read in a later turn
	tries := 0
	h.bytes = func(_ Conn, _ []byte, receivedAt float64) {
		oldest = max(oldest, h.loop.Now()-receivedAt)
		// The kernel starts to timestamp a little after the option was first set.
		if tries++; oldest > 55 || tries == 50 {
			h.loop.Stop()
			return
		}
		stall()
	}
	if err := h.loop.Run(h); err != nil {
		t.Fatal(err)
	}
	if oldest < 55 {
		t.Errorf("the oldest byte is reported as received %v ms ago, want about 60", oldest)
	}
}

// TestFinishLosesNothing: an answer written before Finish arrives whole, although the client sends
// more that is not read.
func TestFinishLosesNothing(t *testing.T) {
	h, address := start(t)
	c := dial(t, address)
	answer := bytes.Repeat([]byte("0123456789abcdef"), 200) // more than the pool holds in one buffer
	h.bytes = func(c Conn, _ []byte, _ float64) {
		h.loop.Write(c, answer)
		h.loop.Finish(c)
	}
	h.closed = func(Conn, int64) { h.loop.Stop() }
	c.Write([]byte("request"))
	go func() {
		time.Sleep(20 * time.Millisecond)
		c.Write(bytes.Repeat([]byte("more that is discarded"), 100))
	}()
	done := make(chan []byte)
	go func() {
		time.Sleep(50 * time.Millisecond)
		got, _ := io.ReadAll(c)
		c.Close()
		done <- got
	}()
	if err := h.loop.Run(h); err != nil {
		t.Fatal(err)
	}
	if got := <-done; !bytes.Equal(got, answer) {
		t.Errorf("%d bytes of the answer arrived, want all %d", len(got), len(answer))
	}
	if h.loop.pool.InUse() != 0 {
		t.Error(h.loop.pool.InUse(), "buffers in use, want 0")
	}
}

func TestFailedConnectIsReported(t *testing.T) {
	h, _ := start(t)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(unused.Addr().String())
	unused.Close()
	connecting := Conn(-1)
	h.endTurn = func() {
		if connecting < 0 {
			connecting = h.loop.Connect(address)
		}
	}
	h.closed = func(c Conn, upTo int64) {
		if c != connecting || upTo != 0 {
			t.Errorf("connection %d closed after %d bytes, want connection %d after 0", c, upTo, connecting)
		}
		h.loop.Stop()
	}
	if err := h.loop.Run(h); err != nil || connecting < 0 {
		t.Fatal(err, connecting)
	}
	if h.loop.Sockets != 1 {
		t.Error(h.loop.Sockets, "open sockets, want only the listener")
	}
}

// TestPanicEndsOnlyItsEvent: a panic in the handling of one connection is reported, and another
// connection is still served.
func TestPanicEndsOnlyItsEvent(t *testing.T) {
	h, address := start(t)
	h.bytes = func(c Conn, b []byte, _ float64) {
		if b[0] == '!' {
			panic("handler failed")
		}
		h.loop.Write(c, b)
	}
	go func() {
		bad, good := dial(t, address), dial(t, address)
		bad.Write([]byte("!"))
		good.Write([]byte("?"))
		good.Read(make([]byte, 1))
		h.loop.Notify(1)
	}()
	if err := h.loop.Run(h); err != nil || h.panics != 1 {
		t.Errorf("error %v, %d panics reported, want 1", err, h.panics)
	}
}

// TestTimerIsNotEarly: a turn that the timer starts does not begin before the time that was set, given
// to a fraction of a millisecond.
func TestTimerIsNotEarly(t *testing.T) {
	h, _ := start(t)
	due, turns := 0.0, 0
	h.endTurn = func() {
		if turns++; turns == 1 {
			due = h.loop.Now() + 2.5
			h.loop.SetTimer(due)
		} else {
			h.loop.Stop()
		}
	}
	if err := h.loop.Run(h); err != nil || h.now < due {
		t.Errorf("%v: timer set for %.3f ms, turn at %.3f ms", err, due, h.now)
	}
}

// TestConnectionWithoutBuffersIsClosed: a connection whose output does not fit in the pool is closed,
// and its buffers are returned.
func TestConnectionWithoutBuffersIsClosed(t *testing.T) {
	h, address := start(t)
	c := dial(t, address)
	ended := false
	h.bytes = func(c Conn, _ []byte, _ float64) { h.loop.Write(c, make([]byte, 64<<20)) } // more than any socket buffer and the pool together
	h.closed = func(Conn, int64) { ended = true; h.loop.Stop() }
	c.Write([]byte("x"))
	if err := h.loop.Run(h); err != nil || !ended || h.loop.pool.InUse() != 0 {
		t.Errorf("error %v, closed %v, %d buffers in use; want closed and 0 buffers", err, ended, h.loop.pool.InUse())
	}
}

func TestEstablishedConnectionsAreAcceptedBeforeListenersClose(t *testing.T) {
	h, address := start(t)
	h.loop.SetAccepting(false)
	for range 3 {
		dial(t, address)
	}
	accepted := 0
	h.accepted = func(Conn) { accepted++ }
	h.endTurn = func() {
		h.loop.CloseListeners()
		h.loop.Stop()
	}
	if err := h.loop.Run(h); err != nil || accepted != 3 {
		t.Errorf("%v: %d connections accepted, want 3", err, accepted)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		c.Close()
		t.Error("the address still accepts connections")
	}
}
