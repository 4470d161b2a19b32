package transport

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// waitForPeerClose waits until a connection has received the close of the other side, so that the loop
// finds it together with the bytes before it.
func waitForPeerClose(t *testing.T, loop *Loop, c Conn) {
	t.Helper()
	fds := []unix.PollFd{{Fd: int32(loop.conns[c].descriptor), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds, 10000)
		if err == unix.EINTR {
			continue
		}
		if n != 1 || err != nil {
			t.Fatalf("no close of the other side within 10 s: poll returned %d, %v", n, err)
		}
		return
	}
}

// TestRepeatedNotificationsAreDeliveredOnce: notifications repeated before the loop reads any arrive
// once each, and don't add up to another one, as numbers in an eventfd did.
func TestRepeatedNotificationsAreDeliveredOnce(t *testing.T) {
	h, _ := start(t)
	var received []int32
	h.notified = func(what int32) {
		if received = append(received, what); what == 4 {
			h.loop.Stop()
		}
	}
	turns := 0
	h.endTurn = func() {
		if turns++; turns == 1 { // all before the loop reads any
			for _, what := range []int32{0, 0, 2, 2, 4, 0} {
				h.loop.Notify(what)
			}
		}
	}
	if err := h.loop.Run(h); err != nil || !slices.Equal(received, []int32{0, 2, 4}) {
		t.Errorf("error %v, notifications %v, want 0, 2 and 4", err, received)
	}
}

// TestCloseIsReportedInTurnOfLastRead: the end of a connection is reported in the turn that reads the
// bytes before it, so that no request is started for a client that has gone.
func TestCloseIsReportedInTurnOfLastRead(t *testing.T) {
	for _, test := range []struct {
		bytesSent   int
		stopReading bool // the handler stops reading after the first read
	}{{7, false}, {5 << 10, true}} {
		h, address := start(t)
		c := dial(t, address)
		c.Write(bytes.Repeat([]byte("x"), test.bytesSent))
		c.Close()
		turn, read := 0, 0
		h.accepted = func(c Conn) { waitForPeerClose(t, h.loop, c) }
		h.endTurn = func() { turn++ }
		h.bytes = func(c Conn, _ []byte, _ float64) {
			if read = turn; test.stopReading {
				h.loop.SetReading(c, false)
			}
		}
		h.closed = func(Conn, int64) {
			if read == 0 || turn != read {
				t.Errorf("%d bytes: read in turn %d, end reported in turn %d, want the same turn", test.bytesSent, read, turn)
			}
			h.loop.Stop()
		}
		if err := h.loop.Run(h); err != nil {
			t.Fatal(err)
		}
	}
}

func TestAnswerReachesClientThatClosedItsSide(t *testing.T) {
	h, address := start(t)
	c := dial(t, address)
	c.Write([]byte("ready?"))
	c.(*net.TCPConn).CloseWrite()
	h.accepted = func(c Conn) { waitForPeerClose(t, h.loop, c) }
	h.bytes = func(c Conn, _ []byte, _ float64) { h.loop.Write(c, []byte("yes")) }
	h.closed = func(Conn, int64) { h.loop.Stop() }
	if err := h.loop.Run(h); err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if got, err := io.ReadAll(c); err != nil || string(got) != "yes" {
		t.Errorf("answer %q, error %v, want \"yes\"", got, err)
	}
}

// TestRetract removes bytes that the system has not accepted yet, and is refused for those that it
// has: what arrives in the end must be all bytes but the retracted ones.
func TestRetract(t *testing.T) {
	loop, err := New(&Pool{Size: 64 << 10, Max: 400})
	if err != nil {
		t.Fatal(err)
	}
	if err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	h := &testHandler{loop: loop, opened: func(Conn) {}}
	c := dial(t, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(loop.Port(0))).String())
	accepted := Conn(-1)
	offset := int64(0) // of the next byte written
	write := func(b []byte) { offset += int64(len(b)); loop.Write(accepted, b) }
	h.accepted = func(c Conn) { accepted = c }
	turns := 0
	h.endTurn = func() {
		if accepted < 0 {
			return
		}
		switch turns++; turns {
		case 1: // far more than the socket buffers hold: the system accepts nothing more, as nobody reads
			write(bytes.Repeat([]byte("a"), 16<<20))
			loop.SetTimer(loop.Now() + 1)
		case 2:
			if !loop.conns[accepted].blocked {
				t.Fatal("the system has accepted all 16 MiB")
			}
			if loop.Retract(accepted, loop.conns[accepted].written-1) {
				t.Error("retracted a byte that the system had accepted")
			}
			from := offset
			write(bytes.Repeat([]byte("b"), 100<<10)) // in more than one buffer
			if !loop.Retract(accepted, from+5) || !loop.Retract(accepted, from) {
				t.Error("did not retract bytes that the system had not accepted")
			}
			offset = from
			write([]byte("c"))
			loop.Finish(accepted)
			go func() {
				got, _ := io.ReadAll(c)
				c.Close()
				if int64(len(got)) != offset || bytes.IndexByte(got, 'b') >= 0 || got[len(got)-1] != 'c' {
					t.Errorf("%d bytes arrived, want %d and none of the retracted ones", len(got), offset)
				}
			}()
		}
	}
	h.bytes = func(Conn, []byte, float64) {}
	h.closed = func(Conn, int64) { loop.Stop() }
	if err := loop.Run(h); err != nil || loop.pool.InUse() != 0 {
		t.Fatalf("error %v, %d buffers in use, want 0", err, loop.pool.InUse())
	}
}

// TestListenerStaysOpenUntilItsConnectionsAreAccepted: without a free descriptor an established
// connection can't be accepted, and closing its listener would reset it. The listener must stay
// open, and be closed by a later call, when the connection can be accepted.
func TestListenerStaysOpenUntilItsConnectionsAreAccepted(t *testing.T) {
	h, address := start(t)
	h.loop.SetAccepting(false)
	c := dial(t, address)
	accepted := 0
	h.accepted = func(Conn) { accepted++ }
	var original unix.Rlimit
	unix.Getrlimit(unix.RLIMIT_NOFILE, &original)
	h.endTurn = func() {
		lowest, err := unix.Dup(h.loop.epoll)
		if err != nil {
			t.Fatal(err)
		}
		unix.Close(lowest)
		exhausted := original
		exhausted.Cur = uint64(lowest) // no further descriptor can be opened
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &exhausted); err != nil {
			t.Fatal(err)
		}
		closed := h.loop.CloseListeners()
		unix.Setrlimit(unix.RLIMIT_NOFILE, &original)
		if closed || accepted != 0 {
			t.Errorf("without a descriptor: closed %v, %d connections accepted, want false and 0", closed, accepted)
		}
		if closed = h.loop.CloseListeners(); !closed || accepted != 1 {
			t.Errorf("with a descriptor: closed %v, %d connections accepted, want true and 1", closed, accepted)
		}
		h.loop.Stop()
	}
	if err := h.loop.Run(h); err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); err == nil || !err.(net.Error).Timeout() {
		t.Errorf("read: %v, want a timeout on an open connection", err)
	}
}

// panickingHandler panics at the beginning of its first turn.
type panickingHandler struct {
	*testHandler
	turns int
}

func (p *panickingHandler) BeginTurn(_ float64) {
	if p.turns++; p.turns == 1 {
		panic("handler failed")
	}
	p.loop.Stop()
}

func TestPanicAtBeginningOfTurnIsRecovered(t *testing.T) {
	h, _ := start(t)
	p := &panickingHandler{testHandler: h}
	h.endTurn = func() { h.loop.Notify(0) }
	h.notified = func(int32) {}
	if err := h.loop.Run(p); err != nil || h.panics != 1 || p.turns < 2 {
		t.Errorf("error %v, %d panics reported, %d turns; want 1 panic and a second turn", err, h.panics, p.turns)
	}
}

// TestNoConnectBetweenLastAcceptAndClose: a client that connects after the last accept and before the
// listener closes must not be connected, as the close would reset it and its request.
func TestNoConnectBetweenLastAcceptAndClose(t *testing.T) {
	h, address := start(t)
	var late net.Conn
	var err error
	dialled := make(chan bool)
	h.loop.beforeCloseListener = func() {
		late, err = net.DialTimeout("tcp", address, 300*time.Millisecond)
		close(dialled)
	}
	h.endTurn = func() {
		if !h.loop.CloseListeners() {
			t.Error("the listener was not closed")
		}
		h.loop.Stop()
	}
	h.notified = func(int32) {}
	if err := h.loop.Run(h); err != nil {
		t.Fatal(err)
	}
	if <-dialled; err == nil {
		late.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = late.Read(make([]byte, 1))
		t.Errorf("a client was connected to a listener about to close; its read then returned: %v", err)
	}
	if _, err := net.DialTimeout("tcp", address, 10*time.Second); err == nil {
		t.Error("the address still accepts connections")
	}
}
