package transport

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// steps is a handler whose events run what a test says.
type steps struct {
	l      *Loop
	turn   func()
	opened func(c Conn)
	took   func(c Conn)
	bytes  func(c Conn, b []byte, came float64)
	closed func(c Conn, upTo int64)
	upTo   int64
	now    float64
	panics int
	told   func(what int32)
}

func (s *steps) Begin(now float64)                    { s.now = now }
func (s *steps) Accepted(c Conn)                      { s.took(c) }
func (s *steps) AcceptFailed()                        {}
func (s *steps) Opened(c Conn)                        { s.opened(c) }
func (s *steps) Bytes(c Conn, b []byte, came float64) { s.bytes(c, b, came) }
func (s *steps) Written(_ Conn, upTo int64)           { s.upTo = upTo }
func (s *steps) Closed(c Conn, upTo int64)            { s.closed(c, upTo) }
func (s *steps) Notified(what int32) {
	if s.told != nil {
		s.told(what)
		return
	}
	s.l.Stop()
}
func (s *steps) Panicked(Conn, any, []byte) { s.panics++ }
func (s *steps) End() bool {
	if s.turn != nil {
		s.turn()
	}
	return false
}

func start(t *testing.T) (*steps, string) {
	t.Helper()
	l, err := New(&Pool{Size: 1 << 10, Max: 4})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	s := &steps{l: l, took: func(Conn) {}, opened: func(Conn) {}, closed: func(Conn, int64) {},
		bytes: func(Conn, []byte, float64) {}}
	at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(l.Port(0)))
	return s, at.String()
}

func dial(t *testing.T, at string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestWhatCameDuringAStallIsAsOldAsItIs(t *testing.T) {
	s, at := start(t)
	c := dial(t, at)
	oldest := 0.0
	stall := func() {
		c.Write([]byte("x"))
		time.Sleep(60 * time.Millisecond)
	}
	s.took = func(Conn) { stall() } // what is written now is read in a later turn
	tries := 0
	s.bytes = func(_ Conn, _ []byte, at float64) {
		oldest = max(oldest, s.l.Now()-at)
		// The kernel begins to stamp a little after it was first asked to.
		if tries++; oldest > 55 || tries == 50 {
			s.l.Stop()
			return
		}
		stall()
	}
	if err := s.l.Run(s); err != nil {
		t.Fatal(err)
	}
	if oldest < 55 {
		t.Errorf("it came %v ms ago, want 60 at least", oldest)
	}
}

func TestFinishLosesNothing(t *testing.T) {
	s, at := start(t)
	c := dial(t, at)
	answer := bytes.Repeat([]byte("0123456789abcdef"), 200) // more than the pool holds in one buffer
	s.bytes = func(c Conn, _ []byte, _ float64) {
		s.l.Write(c, answer)
		s.l.Finish(c)
	}
	s.closed = func(Conn, int64) { s.l.Stop() }
	c.Write([]byte("request"))
	go func() {
		time.Sleep(20 * time.Millisecond)
		c.Write(bytes.Repeat([]byte("more that nobody reads"), 100))
	}()
	done := make(chan []byte)
	go func() {
		time.Sleep(50 * time.Millisecond)
		got, _ := io.ReadAll(c)
		c.Close()
		done <- got
	}()
	if err := s.l.Run(s); err != nil {
		t.Fatal(err)
	}
	if got := <-done; !bytes.Equal(got, answer) {
		t.Errorf("%d bytes arrived of %d", len(got), len(answer))
	}
	if s.l.pool.InUse() != 0 {
		t.Error("a buffer is out")
	}
}

func TestConnectsThatFailAreTold(t *testing.T) {
	s, _ := start(t)
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(nobody.Addr().String())
	nobody.Close()
	begun := Conn(-1)
	s.turn = func() {
		if begun < 0 {
			begun = s.l.Connect(at)
		}
	}
	s.closed = func(c Conn, upTo int64) {
		if c != begun || upTo != 0 {
			t.Error(c, upTo)
		}
		s.l.Stop()
	}
	if err := s.l.Run(s); err != nil || begun < 0 {
		t.Fatal(err, begun)
	}
	if s.l.Sockets != 1 {
		t.Error(s.l.Sockets, "sockets, want the listener alone")
	}
}

func TestAPanicEndsOneEvent(t *testing.T) {
	s, at := start(t)
	s.bytes = func(c Conn, b []byte, _ float64) {
		if b[0] == '!' {
			panic("a defect")
		}
		s.l.Write(c, b)
	}
	go func() {
		bad, good := dial(t, at), dial(t, at)
		bad.Write([]byte("!"))
		good.Write([]byte("?"))
		good.Read(make([]byte, 1))
		s.l.Notify(1)
	}()
	if err := s.l.Run(s); err != nil || s.panics != 1 {
		t.Error(err, s.panics)
	}
}

func TestTheTimerIsFine(t *testing.T) {
	s, _ := start(t)
	at, turns := 0.0, 0
	s.turn = func() {
		if turns++; turns == 1 {
			at = s.l.Now() + 2.5
			s.l.Arm(at)
		} else {
			s.l.Stop()
		}
	}
	if err := s.l.Run(s); err != nil || s.now < at {
		t.Errorf("%v: armed for %.3f, a turn came at %.3f", err, at, s.now)
	}
}

func TestWithoutBuffersAConnectionEnds(t *testing.T) {
	s, at := start(t)
	c := dial(t, at)
	ended := false
	s.bytes = func(c Conn, _ []byte, _ float64) { s.l.Write(c, make([]byte, 64<<20)) } // no socket takes so much
	s.closed = func(Conn, int64) { ended = true; s.l.Stop() }
	c.Write([]byte("x"))
	if err := s.l.Run(s); err != nil || !ended || s.l.pool.InUse() != 0 {
		t.Error(err, ended, s.l.pool.InUse())
	}
}

func TestWhatHasConnectedIsTakenBeforeTheAddressCloses(t *testing.T) {
	s, at := start(t)
	s.l.Accept(false)
	for range 3 {
		dial(t, at)
	}
	took := 0
	s.took = func(Conn) { took++ }
	s.turn = func() {
		s.l.Unlisten()
		s.l.Stop()
	}
	if err := s.l.Run(s); err != nil || took != 3 {
		t.Errorf("%v: %d taken of 3", err, took)
	}
	if c, err := net.Dial("tcp", at); err == nil {
		c.Close()
		t.Error("the address is open")
	}
}
