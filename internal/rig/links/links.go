// Package links puts faults between processes: a link is a relay in user space between two parties, and a net gives each
// link, one way and the other, what now holds for its sites and parties. Bytes can be delayed, slowed down, held up, held
// back for good, or have their connections broken; connections can be refused, or never come up.
//
// It needs no rights, and every address lies in 127.0.0.0/8. What TCP would do under a real fault is kept to: a cut
// without a word leaves open connections open and silent, and what was written on them arrives when the cut ends, unless
// the other end has started anew meanwhile.
package links

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Way is what holds for bytes that go one way. The zero value lets all through at once.
type Way struct {
	Delay  float64 `json:"delay-ms,omitempty"`
	Jitter float64 `json:"jitter-ms,omitempty"` // up to so much more, by chance; order is kept
	Rate   float64 `json:"kb-per-s,omitempty"`  // 0: no limit
	Loss   float64 `json:"loss,omitempty"`      // share of chunks held up as by a packet that has to be sent again
	Stall  float64 `json:"stall-ms,omitempty"`  // for how long; 200 where it is 0
	Cut    bool    `json:"cut,omitempty"`       // nothing arrives until it ends
}

// Up is what holds for new connections.
type Up uint8

// What becomes of a connect.
const (
	Opens    Up = iota
	Refuses     // at once
	NeverUps    // a connect is never answered
)

// Fault is laid over the links from some parties to others until it is lifted. Several add up: delays add, the least
// rate counts, one cut is enough.
type Fault struct {
	From, To string // a party's name, or @SITE, or *
	There    Way    // from From to To
	Back     Way
	Connect  Up
}

// Party is an end of links.
type Party struct{ Name, Site string }

func (p Party) is(pattern string) bool {
	return pattern == "*" || pattern == p.Name || strings.HasPrefix(pattern, "@") && pattern[1:] == p.Site
}

// Held tells whether a cut held bytes back at any time since.
func (l *Link) Held(since time.Time) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.ways[0].Cut || l.ways[1].Cut || l.heldAt.After(since)
}

// Net is links and what now holds for them.
type Net struct {
	Base   func(from, to Party) Way // each way, before faults; nil: nothing
	lock   sync.Mutex
	seed   uint64
	links  []*Link
	faults map[int]Fault
	next   int
}

// New makes a net without links; the seed draws what chance decides.
func New(seed uint64) *Net { return &Net{seed: seed, faults: map[int]Fault{}} }

// Link is a relay from one party to another.
type Link struct {
	From, To  Party
	net       *Net
	addr      string
	target    string
	lock      sync.Mutex
	change    *sync.Cond
	ways      [2]Way
	up        Up
	fd        int
	fillers   []int
	pairs     map[*pair]bool
	rng       *rand.Rand
	closed    bool
	Opened    int // connections so far
	Bytes     [2]int64
	datagrams *net.UDPConn
	flying    int       // datagrams on the way
	heldAt    time.Time // when a cut was last in force, and another fault came
}

type pair struct {
	link   *Link
	ends   [2]net.Conn // 0: who connected, 1: the target
	broken bool
}

// Add makes a link from a party to another's address, and gives the address where the first finds it.
func (n *Net) Add(from, to Party, target string) (*Link, error) {
	n.lock.Lock()
	defer n.lock.Unlock()
	l := &Link{From: from, To: to, net: n, target: target, pairs: map[*pair]bool{},
		rng: rand.New(rand.NewPCG(n.seed, uint64(len(n.links)+1)))}
	l.change = sync.NewCond(&l.lock)
	if err := l.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	n.links = append(n.links, l)
	n.apply(l)
	return l, nil
}

// Addr is where the link is entered.
func (l *Link) Addr() string { return l.addr }

// Lay puts a fault over the links it names and gives what lifts it.
func (n *Net) Lay(f Fault) (lift func()) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.next++
	at := n.next
	n.faults[at] = f
	for _, l := range n.links {
		n.apply(l)
	}
	return func() {
		n.lock.Lock()
		defer n.lock.Unlock()
		delete(n.faults, at)
		for _, l := range n.links {
			n.apply(l)
		}
	}
}

// Break resets the open connections of the links between some parties, both ends.
func (n *Net) Break(from, to string) int {
	n.lock.Lock()
	defer n.lock.Unlock()
	broken := 0
	for _, l := range n.links {
		if l.From.is(from) && l.To.is(to) || l.From.is(to) && l.To.is(from) {
			broken += l.breakAll(2)
		}
	}
	return broken
}

// HalfOpen breaks the target's end alone: who connected does not notice.
func (n *Net) HalfOpen(from, to string) int {
	n.lock.Lock()
	defer n.lock.Unlock()
	broken := 0
	for _, l := range n.links {
		if l.From.is(from) && l.To.is(to) {
			broken += l.breakAll(1)
		}
	}
	return broken
}

// apply adds up what holds for a link. The net's lock is held.
func (n *Net) apply(l *Link) {
	var there, back Way
	if n.Base != nil {
		there, back = n.Base(l.From, l.To), n.Base(l.To, l.From)
	}
	up := Opens
	for _, f := range n.faults {
		switch {
		case l.From.is(f.From) && l.To.is(f.To):
			there, back = there.and(f.There), back.and(f.Back)
			up = max(up, f.Connect)
		case l.From.is(f.To) && l.To.is(f.From):
			there, back = there.and(f.Back), back.and(f.There)
			up = max(up, f.Connect)
		}
	}
	if there.Cut || back.Cut {
		up = max(up, NeverUps) // a handshake needs both ways
	}
	l.set(there, back, up)
}

func (w Way) and(v Way) Way {
	w.Delay, w.Jitter, w.Stall = w.Delay+v.Delay, w.Jitter+v.Jitter, max(w.Stall, v.Stall)
	if v.Rate > 0 && (w.Rate == 0 || v.Rate < w.Rate) {
		w.Rate = v.Rate
	}
	w.Loss = 1 - (1-w.Loss)*(1-v.Loss)
	w.Cut = w.Cut || v.Cut
	return w
}

// Close ends all links and their connections.
func (n *Net) Close() {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, l := range n.links {
		l.lock.Lock()
		l.closed = true
		l.quiet()
		l.hush()
		l.lock.Unlock()
		l.breakAll(2)
	}
}

// listen opens the link's door. A socket of its own, as its queue has to be made small and large again.
func (l *Link) listen(at string) error {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	to, err := net.ResolveTCPAddr("tcp4", at)
	if err != nil {
		unix.Close(fd)
		return err
	}
	sa := &unix.SockaddrInet4{Port: to.Port}
	copy(sa.Addr[:], to.IP.To4())
	if err := errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Bind(fd, sa), unix.Listen(fd, backlog)); err != nil {
		unix.Close(fd)
		return fmt.Errorf("a link at %s: %w", at, err)
	}
	bound, _ := unix.Getsockname(fd)
	port := bound.(*unix.SockaddrInet4).Port
	l.fd, l.addr = fd, fmt.Sprintf("%s:%d", to.IP, port)
	go l.accept(fd)
	return nil
}

const (
	backlog = 1024
	look    = 20 * time.Millisecond // how soon a door that was shut notices that it is open
)

// accept serves one opening of the door.
func (l *Link) accept(fd int) {
	defer unix.Close(fd)
	for {
		l.lock.Lock()
		for l.up == NeverUps && l.fd == fd && !l.closed {
			l.change.Wait()
		}
		mine := l.fd == fd && !l.closed
		l.lock.Unlock()
		if !mine {
			return
		}
		set := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		if n, err := unix.Poll(set, int(look/time.Millisecond)); n <= 0 || err != nil {
			if err != nil && err != unix.EINTR {
				return
			}
			continue
		}
		l.lock.Lock()
		if l.fd != fd || l.closed {
			l.lock.Unlock()
			return
		}
		if l.up == NeverUps {
			l.lock.Unlock()
			continue
		}
		conn, _, err := unix.Accept4(fd, unix.SOCK_CLOEXEC)
		l.lock.Unlock()
		if err != nil {
			continue
		}
		c, err := connOf(conn)
		if err != nil {
			continue
		}
		go l.relay(c)
	}
}

// connOf makes a connection of a descriptor, which is closed.
func connOf(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "link")
	defer f.Close()
	return net.FileConn(f)
}

// quiet shuts the door. The link's lock is held.
func (l *Link) quiet() {
	if l.fd >= 0 {
		unix.Shutdown(l.fd, unix.SHUT_RDWR) // at once, though somebody waits on it; who does closes it
		l.fd = -1
	}
	for _, f := range l.fillers {
		unix.Close(f)
	}
	l.fillers = nil
	l.change.Broadcast()
}

// hush ends datagrams. The link's lock is held.
func (l *Link) hush() {
	if l.datagrams != nil {
		l.datagrams.Close()
	}
}

// set has new conditions hold from now on.
func (l *Link) set(there, back Way, up Up) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.ways[0].Cut || l.ways[1].Cut {
		l.heldAt = time.Now()
	}
	l.ways = [2]Way{there, back}
	if was := l.up; was != up && !l.closed {
		l.up = up
		if was == Refuses {
			if err := l.listen(l.addr); err != nil {
				panic(err) // its port was given away: the scenario can't go on
			}
		}
		switch up {
		case Refuses:
			l.quiet()
		case NeverUps:
			l.fill()
		case Opens:
			unix.Listen(l.fd, backlog)
			for _, f := range l.fillers {
				unix.Close(f)
			}
			l.fillers = nil
		}
	}
	l.change.Broadcast()
}

// fill has the kernel drop whoever connects: the queue is made as small as can be, and is full.
func (l *Link) fill() {
	unix.Listen(l.fd, 0)
	to, _ := unix.Getsockname(l.fd)
	for range 3 {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			return
		}
		unix.Connect(fd, to)
		l.fillers = append(l.fillers, fd)
	}
}

func (l *Link) breakAll(ends int) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	for p := range l.pairs {
		p.reset(ends)
	}
	n := len(l.pairs)
	l.change.Broadcast()
	return n
}

// reset breaks both ends, or the target's alone. The link's lock is held.
func (p *pair) reset(ends int) {
	for i := 2 - ends; i < 2; i++ {
		if t, ok := p.ends[i].(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		p.ends[i].Close()
	}
	if ends == 2 {
		p.broken = true
	}
}

func (l *Link) relay(from net.Conn) {
	to, err := net.DialTimeout("tcp4", l.target, 5*time.Second)
	if err != nil {
		// The target refuses: so does the link, as far as it still can.
		if t, ok := from.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		from.Close()
		return
	}
	p := &pair{link: l, ends: [2]net.Conn{from, to}}
	l.lock.Lock()
	if l.closed || l.up == Refuses {
		p.reset(2)
		l.lock.Unlock()
		return
	}
	l.pairs[p] = true
	l.Opened++
	l.lock.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	for way := range 2 {
		go func() {
			p.pump(way)
			both.Done()
		}()
	}
	both.Wait()
	l.lock.Lock()
	delete(l.pairs, p)
	l.lock.Unlock()
	from.Close()
	to.Close()
}

type chunk struct {
	bytes []byte
	due   time.Time
	err   error
}

const (
	chunkSize = 16 << 10
	inFlight  = 64 // chunks on the way: what a connection's windows would hold
)

// pump carries one way. Who reads stamps a chunk with its time of arrival, who writes waits for it, so that a delay does
// not slow down what is sent one after another.
func (p *pair) pump(way int) {
	l, from, to := p.link, p.ends[way], p.ends[1-way]
	ready := make(chan chunk, inFlight)
	go func() {
		defer close(ready)
		last := time.Now()
		for {
			b := make([]byte, chunkSize)
			n, err := from.Read(b)
			l.lock.Lock()
			w := l.ways[way]
			extra := w.Delay + w.Jitter*l.rng.Float64()
			if w.Loss > 0 && l.rng.Float64() < w.Loss {
				if w.Stall == 0 {
					w.Stall = 200
				}
				extra += w.Stall
			}
			l.Bytes[way] += int64(n)
			l.lock.Unlock()
			due := time.Now().Add(time.Duration(extra * 1e6))
			if due.Before(last) {
				due = last
			}
			if w.Rate > 0 {
				due = due.Add(time.Duration(float64(n) / w.Rate * 1e6))
			}
			last = due
			ready <- chunk{b[:n], due, err}
			if err != nil {
				return
			}
		}
	}()
	dead := false
	for c := range ready {
		if dead {
			continue // the reader ends when its connection does
		}
		if wait := time.Until(c.due); wait > 0 {
			time.Sleep(wait)
		}
		l.lock.Lock()
		for l.ways[way].Cut && !p.broken && !l.closed {
			l.change.Wait()
		}
		dead = p.broken || l.closed
		l.lock.Unlock()
		if dead {
			from.Close()
			continue
		}
		if len(c.bytes) > 0 {
			if _, err := to.Write(c.bytes); err != nil {
				// An end that is gone: the other hears of it as the network would tell, by a reset.
				l.lock.Lock()
				if !l.ways[1-way].Cut {
					p.reset(2)
				}
				l.lock.Unlock()
				dead = true
				continue
			}
		}
		switch {
		case c.err == nil:
		case errors.Is(c.err, io.EOF):
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
		case errors.Is(c.err, syscall.ECONNRESET):
			l.lock.Lock()
			p.reset(2)
			l.lock.Unlock()
		default:
			to.Close()
		}
	}
}

// Stats is what went over the links from some parties to others: connections, and bytes each way.
func (n *Net) Stats(from, to string) (opened int, there, back int64) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, l := range n.links {
		if l.From.is(from) && l.To.is(to) {
			l.lock.Lock()
			opened, there, back = opened+l.Opened, there+l.Bytes[0], back+l.Bytes[1]
			l.lock.Unlock()
		}
	}
	return opened, there, back
}

// Between is a base by sites: one way within a site, another from site to site.
func Between(within, across Way) func(from, to Party) Way {
	return func(from, to Party) Way {
		if from.Site == to.Site {
			return within
		}
		return across
	}
}

// Valid tells what is wrong with a way.
func (w Way) Valid() error {
	for name, v := range map[string]float64{"delay-ms": w.Delay, "jitter-ms": w.Jitter, "kb-per-s": w.Rate, "stall-ms": w.Stall} {
		if v < 0 || math.IsNaN(v) || v > 1e6 {
			return fmt.Errorf("%s is %v", name, v)
		}
	}
	if w.Loss < 0 || w.Loss > 1 || math.IsNaN(w.Loss) {
		return fmt.Errorf("loss is %v", w.Loss)
	}
	return nil
}
