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

// ended waits until the other side's end has come in on a connection: only then is the order of a test the one it is about.
func ended(t *testing.T, l *Loop, c Conn) {
	t.Helper()
	fds := []unix.PollFd{{Fd: int32(l.conns[c].descriptor), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds, 10000)
		if err == unix.EINTR {
			continue
		}
		if n != 1 || err != nil {
			t.Fatal("the other side has not ended: ", n, err)
		}
		return
	}
}

func TestWordsToldTwiceStayWhatTheyAre(t *testing.T) {
	s, _ := start(t)
	var words []int32
	s.told = func(what int32) {
		if words = append(words, what); what == 4 {
			s.l.Stop()
		}
	}
	turns := 0
	s.turn = func() {
		if turns++; turns == 1 { // all of them before the loop reads any
			for _, what := range []int32{0, 0, 2, 2, 4, 0} {
				s.l.Notify(what)
			}
		}
	}
	if err := s.l.Run(s); err != nil || !slices.Equal(words, []int32{0, 2, 4}) {
		t.Error(err, words, "were read, told were 0, 2 and 4")
	}
}

func TestWhoHasGoneIsToldOfInTheTurnThatReadsWhatItSaid(t *testing.T) {
	for _, test := range []struct {
		says   int
		enough bool // its reader has enough after the first read
	}{{7, false}, {5 << 10, true}} {
		s, at := start(t)
		c := dial(t, at)
		c.Write(bytes.Repeat([]byte("x"), test.says))
		c.Close()
		turn, read := 0, 0
		s.took = func(c Conn) { ended(t, s.l, c) }
		s.turn = func() { turn++ }
		s.bytes = func(c Conn, _ []byte, _ float64) {
			if read = turn; test.enough {
				s.l.Reading(c, false)
			}
		}
		s.closed = func(Conn, int64) {
			if read == 0 || turn != read {
				t.Errorf("%d bytes: read in turn %d, the end told in turn %d", test.says, read, turn)
			}
			s.l.Stop()
		}
		if err := s.l.Run(s); err != nil {
			t.Fatal(err)
		}
	}
}

func TestWhoHasEndedItsSideAloneStillHasItsAnswer(t *testing.T) {
	s, at := start(t)
	c := dial(t, at)
	c.Write([]byte("ready?"))
	c.(*net.TCPConn).CloseWrite()
	s.took = func(c Conn) { ended(t, s.l, c) }
	s.bytes = func(c Conn, _ []byte, _ float64) { s.l.Write(c, []byte("yes")) }
	s.closed = func(Conn, int64) { s.l.Stop() }
	if err := s.l.Run(s); err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if got, err := io.ReadAll(c); err != nil || string(got) != "yes" {
		t.Errorf("%q, %v", got, err)
	}
}

func TestWhatTheNetworkHasNotBegunIsTakenBack(t *testing.T) {
	l, err := New(&Pool{Size: 64 << 10, Max: 400})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	s := &steps{l: l, opened: func(Conn) {}}
	c := dial(t, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(l.Port(0))).String())
	taken := Conn(-1)
	asked := int64(0)
	put := func(b []byte) { asked += int64(len(b)); l.Write(taken, b) }
	s.took = func(c Conn) { taken = c }
	turns := 0
	s.turn = func() {
		if taken < 0 {
			return
		}
		switch turns++; turns {
		case 1: // far more than the sockets hold: from here on the network takes nothing, as nobody reads
			put(bytes.Repeat([]byte("a"), 16<<20))
			l.Arm(l.Now() + 1)
		case 2:
			if !l.conns[taken].blocked {
				t.Fatal("the network has taken all")
			}
			if l.Retract(taken, l.conns[taken].written-1) {
				t.Error("what was begun is said to be taken back")
			}
			from := asked
			put(bytes.Repeat([]byte("b"), 100<<10)) // over two buffers
			if !l.Retract(taken, from+5) || !l.Retract(taken, from) {
				t.Error("what was not begun can't be taken back")
			}
			asked = from
			put([]byte("c"))
			l.Finish(taken)
			go func() {
				got, _ := io.ReadAll(c)
				c.Close()
				if int64(len(got)) != asked || bytes.IndexByte(got, 'b') >= 0 || got[len(got)-1] != 'c' {
					t.Errorf("%d bytes arrived of %d, or some that were taken back", len(got), asked)
				}
			}()
		}
	}
	s.bytes = func(Conn, []byte, float64) {}
	s.closed = func(Conn, int64) { l.Stop() }
	if err := l.Run(s); err != nil || l.pool.InUse() != 0 {
		t.Fatal(err, l.pool.InUse())
	}
}

func TestAnAddressStaysOpenUntilAllThatHaveConnectedAreTaken(t *testing.T) {
	s, at := start(t)
	s.l.Accept(false)
	c := dial(t, at)
	took := 0
	s.took = func(Conn) { took++ }
	var was unix.Rlimit
	unix.Getrlimit(unix.RLIMIT_NOFILE, &was)
	s.turn = func() {
		lowest, err := unix.Dup(s.l.epoll)
		if err != nil {
			t.Fatal(err)
		}
		unix.Close(lowest)
		none := was
		none.Cur = uint64(lowest) // no further descriptor
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &none); err != nil {
			t.Fatal(err)
		}
		closed := s.l.Unlisten()
		unix.Setrlimit(unix.RLIMIT_NOFILE, &was)
		if closed || took != 0 {
			t.Errorf("closed %v, %d taken without a descriptor", closed, took)
		}
		if closed = s.l.Unlisten(); !closed || took != 1 {
			t.Errorf("closed %v, %d taken of 1", closed, took)
		}
		s.l.Stop()
	}
	if err := s.l.Run(s); err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); err == nil || !err.(net.Error).Timeout() {
		t.Error("the connection was ended: ", err)
	}
}

// failing panics as its first turn begins.
type failing struct {
	*steps
	begun int
}

func (f *failing) Begin(_ float64) {
	if f.begun++; f.begun == 1 {
		panic("a defect")
	}
	f.l.Stop()
}

func TestAFailureAsATurnBeginsEndsNoProcess(t *testing.T) {
	s, _ := start(t)
	f := &failing{steps: s}
	s.turn = func() { s.l.Notify(0) }
	s.told = func(int32) {}
	if err := s.l.Run(f); err != nil || s.panics != 1 || f.begun < 2 {
		t.Error(err, s.panics, f.begun)
	}
}

func TestNobodyConnectsToAnAddressThatIsAboutToClose(t *testing.T) {
	s, at := start(t)
	var late net.Conn
	var err error
	asked := make(chan bool)
	s.l.beforeUnlisten = func() { // a client comes just now, and believes to be connected, or not
		late, err = net.DialTimeout("tcp", at, 300*time.Millisecond)
		close(asked)
	}
	s.turn = func() {
		if !s.l.Unlisten() {
			t.Error("not closed")
		}
		s.l.Stop()
	}
	s.told = func(int32) {}
	if err := s.l.Run(s); err != nil {
		t.Fatal(err)
	}
	if <-asked; err == nil {
		late.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = late.Read(make([]byte, 1))
		t.Error("it was connected to an address that closes, and then: ", err)
	}
	if _, err := net.DialTimeout("tcp", at, 10*time.Second); err == nil {
		t.Error("the address is open")
	}
}
