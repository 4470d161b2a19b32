package links

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

var (
	a = Endpoint{"a", "north"}
	b = Endpoint{"b", "south"}
)

// echo starts a server that returns every byte, and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// newTestLink is a network with one link from a to b, to an echo server.
func newTestLink(t *testing.T) (*Network, *Link) {
	n := New(1)
	t.Cleanup(n.Close)
	l, err := n.Add(a, b, echo(t))
	if err != nil {
		t.Fatal(err)
	}
	return n, l
}

// dial connects through a link.
func dial(t *testing.T, l *Link) net.Conn {
	c, err := net.DialTimeout("tcp4", l.Address(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// echoByte sends one byte and waits until it returns, or a time-out.
func echoByte(c net.Conn, within time.Duration) (time.Duration, error) {
	start := time.Now()
	if _, err := c.Write([]byte("x")); err != nil {
		return 0, err
	}
	return receiveByte(c, start, within)
}

// receiveByte waits for one byte, and returns the time since start.
func receiveByte(c net.Conn, start time.Time, within time.Duration) (time.Duration, error) {
	c.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(c, make([]byte, 1))
	return time.Since(start), err
}

const (
	receiveTimeout = 10 * time.Second // what must come comes far sooner, also on a busy machine
	silenceTimeout = 150 * time.Millisecond
)

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// requireTimeout fails the test unless a read has timed out.
func requireTimeout(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("no time-out: ", err)
	}
}

func TestDelaysAddUpAndKeepOrder(t *testing.T) {
	n, l := newTestLink(t)
	n.Base = BySite(Conditions{}, Conditions{DelayMs: 5})
	remove := n.Inject(Fault{Source: "@north", Destination: "b", Forward: Conditions{DelayMs: 20, JitterMs: 10}})
	c := dial(t, l)
	took, err := echoByte(c, receiveTimeout)
	must(t, err)
	if took < 30*time.Millisecond {
		t.Error("only", took)
	}
	for i := range 50 { // jitter must not reorder bytes
		c.Write([]byte{byte(i)})
		time.Sleep(time.Millisecond / 2)
	}
	got := make([]byte, 50)
	c.SetReadDeadline(time.Now().Add(receiveTimeout))
	_, err = io.ReadFull(c, got)
	must(t, err)
	for i, v := range got {
		if int(v) != i {
			t.Fatal("order", got)
		}
	}
	remove()
	if opened, there, back := n.Stats("*", "@south"); opened != 1 || there != 51 || back != 51 {
		t.Error("counted", opened, there, back)
	}
}

func TestPartitionBlocksBytesAndConnects(t *testing.T) {
	n, l := newTestLink(t)
	c := dial(t, l)
	_, err := echoByte(c, receiveTimeout)
	must(t, err)
	remove := n.Inject(Fault{Source: "@south", Destination: "@north", Forward: Conditions{Partitioned: true}, Reverse: Conditions{Partitioned: true}})
	start := time.Now()
	_, err = echoByte(c, silenceTimeout)
	requireTimeout(t, err)
	if d, err := net.DialTimeout("tcp4", l.Address(), silenceTimeout); err == nil {
		d.Close()
		t.Fatal("a connection came up")
	}
	remove()
	_, err = receiveByte(c, start, receiveTimeout) // the blocked byte arrives
	must(t, err)
	_, err = echoByte(dial(t, l), receiveTimeout)
	must(t, err)
}

func TestPartitionOfOneDirection(t *testing.T) {
	n, l := newTestLink(t)
	c := dial(t, l)
	_, err := echoByte(c, receiveTimeout)
	must(t, err)
	remove := n.Inject(Fault{Source: "a", Destination: "b", Reverse: Conditions{Partitioned: true}}) // requests arrive, answers don't
	_, err = echoByte(c, silenceTimeout)
	requireTimeout(t, err)
	for range 200 { // until the target has it
		if _, there, _ := n.Stats("a", "b"); there >= 2 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if _, there, _ := n.Stats("a", "b"); there != 2 {
		t.Error("the request did not pass:", there)
	}
	remove()
	_, err = receiveByte(c, time.Now(), receiveTimeout)
	must(t, err)
}

func TestRefusalsResetsAndHalfOpen(t *testing.T) {
	n, l := newTestLink(t)
	c := dial(t, l)
	_, err := echoByte(c, receiveTimeout)
	must(t, err)
	remove := n.Inject(Fault{Source: "a", Destination: "b", Connect: ConnectRefused})
	if _, err = net.DialTimeout("tcp4", l.Address(), receiveTimeout); err == nil {
		t.Fatal("not refused")
	}
	_, err = echoByte(c, receiveTimeout) // open connections are not affected
	must(t, err)
	remove()
	d := dial(t, l)
	_, err = echoByte(d, receiveTimeout)
	must(t, err)
	if broken := n.ResetConnections("a", "b"); broken != 2 {
		t.Error("broke", broken)
	}
	if _, err = receiveByte(c, time.Now(), receiveTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("not reset: ", err)
	}
	e := dial(t, l)
	_, err = echoByte(e, receiveTimeout)
	must(t, err)
	if n.MakeHalfOpen("a", "b") == 0 {
		t.Error("nothing half open")
	}
}

func TestRateAndLoss(t *testing.T) {
	n, l := newTestLink(t)
	c := dial(t, l)
	_, err := echoByte(c, receiveTimeout)
	must(t, err)
	remove := n.Inject(Fault{Source: "a", Destination: "b", Forward: Conditions{RateKBps: 1000}})
	start := time.Now()
	go c.Write(make([]byte, 100<<10))
	c.SetReadDeadline(time.Now().Add(receiveTimeout))
	_, err = io.ReadFull(c, make([]byte, 100<<10))
	must(t, err)
	if took := time.Since(start); took < 90*time.Millisecond {
		t.Error("100 KB at 1 MB/s took", took)
	}
	remove()
	n.Inject(Fault{Source: "*", Destination: "*", Forward: Conditions{LossRate: 1, RetransmitMs: 60}})
	if took, err := echoByte(c, receiveTimeout); err != nil || took < 60*time.Millisecond {
		t.Error("a lost packet cost", took, err)
	}
	if (Conditions{LossRate: 2}).Validate() == nil || (Conditions{DelayMs: -1}).Validate() == nil || (Conditions{DelayMs: 3, LossRate: 0.5}).Validate() != nil {
		t.Error("unsound ways")
	}
}

func TestPartitionDropsDatagrams(t *testing.T) {
	in, err := net.ListenPacket("udp4", echo(t)) // the same address takes connections
	must(t, err)
	defer in.Close()
	n := New(1)
	t.Cleanup(n.Close)
	l, err := n.AddWithDatagrams(a, b, in.LocalAddr().String())
	must(t, err)
	out, err := net.Dial("udp4", l.Address())
	must(t, err)
	defer out.Close()
	receive := func(within time.Duration) error {
		in.SetReadDeadline(time.Now().Add(within))
		_, _, err := in.ReadFrom(make([]byte, 10))
		return err
	}
	send := func() {
		t.Helper()
		_, err := out.Write([]byte("x"))
		must(t, err)
	}
	remove := n.Inject(Fault{Source: "a", Destination: "b", Forward: Conditions{DelayMs: 30}})
	start := time.Now()
	send()
	must(t, receive(receiveTimeout))
	if took := time.Since(start); took < 30*time.Millisecond {
		t.Error("only", took)
	}
	remove()
	remove = n.Inject(Fault{Source: "a", Destination: "b", Forward: Conditions{Partitioned: true}})
	send()
	requireTimeout(t, receive(silenceTimeout))
	remove()
	requireTimeout(t, receive(silenceTimeout)) // a datagram that was blocked is lost, where a connection's bytes would arrive now
	back := n.Inject(Fault{Source: "a", Destination: "b", Reverse: Conditions{Partitioned: true}})
	send()
	must(t, receive(receiveTimeout)) // the other direction takes another link
	back()
	if _, there, _ := n.Stats("a", "b"); there != 3 {
		t.Error("counted", there)
	}
	remove = n.Inject(Fault{Source: "a", Destination: "b", Forward: Conditions{LossRate: 1}})
	send()
	requireTimeout(t, receive(silenceTimeout))
	remove()
	_, err = echoByte(dial(t, l), receiveTimeout)
	must(t, err)
}
