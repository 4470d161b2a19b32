package connpool

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/golden"
)

// peer is the network as a random run has it, with checks of what the pool may do.
type peer struct {
	t        *testing.T
	p        *Pool
	now      float64
	up       map[int]int // channel to server; negative server: still opening
	opening  map[int]int
	streams  map[int]map[Token]bool
	waiting  map[Token]int
	draining map[int]bool
	refused  int
	sockets  int
	opens    map[int][]float64
	seen     map[Token]int
	most     map[int]int
	trace    io.Writer // each effect, for the golden test
}

func (n *peer) Open(server, channel int) bool {
	n.log("open", server, channel)
	if n.draining[server] {
		n.t.Fatalf("opened to server %d, which is draining", server)
	}
	if n.sockets <= 0 {
		return false
	}
	n.sockets--
	for _, s := range n.opening {
		if s == server {
			n.t.Fatalf("two connects to server %d at a time", server)
		}
	}
	n.opening[channel] = server
	n.opens[server] = append(n.opens[server], n.now)
	return true
}

func (n *peer) Begin(channel int, t Token) {
	n.log("begin", channel, t)
	s, up := n.up[channel]
	if !up || n.draining[s] {
		n.t.Fatalf("a stream begins on channel %d: up %v, server %d draining %v", channel, up, s, n.draining[s])
	}
	if len(n.streams[channel]) >= n.most[channel] {
		n.t.Fatalf("channel %d has %d streams", channel, len(n.streams[channel]))
	}
	n.streams[channel][t] = true
	n.seen[t]++
	delete(n.waiting, t)
}

func (n *peer) Refuse(t Token, why Why) {
	n.log("refuse", t, int(why))
	n.refused++
	n.seen[t]++
	delete(n.waiting, t)
}

func (n *peer) Close(channel int) {
	n.log("close", channel)
	n.sockets++
	delete(n.opening, channel)
	delete(n.up, channel)
	delete(n.streams, channel)
}

func (n *peer) Ping(channel int) { n.log("ping", channel) }

func (n *peer) log(effect string, subjects ...any) {
	if n.trace != nil {
		fmt.Fprintln(n.trace, n.now, effect, subjects)
	}
}

func pick[K comparable, V any](rng *rand.Rand, m map[K]V, less func(a, b K) bool) (best K, ok bool) {
	i := rng.IntN(max(len(m), 1))
	var keys []K
	for k := range m {
		at := len(keys)
		for at > 0 && less(k, keys[at-1]) {
			at--
		}
		keys = append(keys[:at], append([]K{k}, keys[at:]...)...)
	}
	if len(keys) == 0 {
		return best, false
	}
	return keys[i], true
}

func TestRandomPools(t *testing.T) {
	less := func(a, b int) bool { return a < b }
	var traces strings.Builder
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 5))
		n := &peer{t: t, up: map[int]int{}, opening: map[int]int{}, streams: map[int]map[Token]bool{}, waiting: map[Token]int{},
			draining: map[int]bool{}, sockets: 8, opens: map[int][]float64{}, seen: map[Token]int{}, most: map[int]int{}}
		trace := fnv.New64a()
		n.trace = trace
		set := Settings{Most: 2, Streams: 4, Waiting: 5, Connect: 50, Idle: 300, Backoff: 20, BackoffMost: 200, Ping: 100, PingWait: 50}
		n.p = New(n, set, rng.Float64)
		const servers = 3
		for s := range servers {
			n.p.Server(0, s, true, false)
		}
		asked := 0
		for range 3000 {
			n.now += rng.Float64() * 4
			switch rng.IntN(12) {
			case 0, 1, 2, 3:
				asked++
				n.waiting[asked] = rng.IntN(servers)
				n.p.Want(n.now, n.waiting[asked], asked)
			case 4, 5, 6:
				if ch, ok := pick(rng, n.streams, less); ok && len(n.streams[ch]) > 0 {
					tk, _ := pick(rng, n.streams[ch], func(a, b Token) bool { return a.(int) < b.(int) })
					delete(n.streams[ch], tk)
					n.p.Done(n.now, ch)
				}
			case 7, 8:
				if ch, ok := pick(rng, n.opening, less); ok {
					s := n.opening[ch]
					if delete(n.opening, ch); rng.IntN(3) == 0 {
						n.sockets++
						n.p.Lost(n.now, ch)
					} else {
						n.up[ch], n.streams[ch] = s, map[Token]bool{}
						n.most[ch] = min(set.Streams, 1+rng.IntN(6))
						n.p.Up(n.now, ch, n.most[ch])
					}
				}
			case 9:
				if ch, ok := pick(rng, n.up, less); ok && rng.IntN(4) == 0 {
					if delete(n.up, ch); rng.IntN(2) == 0 {
						delete(n.streams, ch)
						n.sockets++
						n.p.Lost(n.now, ch)
					} else {
						n.up[ch] = 0 // it still counts as open
						n.p.Leaving(n.now, ch)
					}
				}
			case 10:
				if s := rng.IntN(servers); rng.IntN(6) == 0 {
					if n.draining[s] {
						delete(n.draining, s)
						n.p.Server(n.now, s, true, false)
					} else {
						n.draining[s] = true
						n.p.Server(n.now, s, false, false)
					}
				}
			case 11:
				for ch := range n.up {
					n.p.Heard(n.now, ch)
				}
			}
			n.p.Tick(n.now)
			for tk, times := range n.seen {
				if times > 1 {
					t.Fatalf("seed %d: stream %v had %d places or refusals", seed, tk, times)
				}
			}
			if len(n.waiting) != n.p.Waiting() {
				t.Fatalf("seed %d: %d wait, the pool says %d", seed, len(n.waiting), n.p.Waiting())
			}
			if got := n.p.Channels(); got != len(n.up)+len(n.opening) {
				t.Fatalf("seed %d: %d channels, the pool says %d", seed, len(n.up)+len(n.opening), got)
			}
			streams := 0
			for _, list := range n.streams {
				streams += len(list)
			}
			if streams != n.p.Streams() {
				t.Fatalf("seed %d: %d streams, the pool says %d", seed, streams, n.p.Streams())
			}
		}
		// What follows runs in a map's order.
		n.trace = nil
		fmt.Fprintf(&traces, "%d: effects %x, counters %v\n", seed, trace.Sum64(), n.p.Count)
		// At rest nothing waits for ever.
		for range 400 {
			n.now += 10
			for ch := range n.up {
				n.p.Heard(n.now, ch)
				for tk := range n.streams[ch] {
					delete(n.streams[ch], tk)
					n.p.Done(n.now, ch)
				}
			}
			n.p.Tick(n.now)
		}
		if len(n.waiting) > 0 || n.p.Channels() > 0 || n.sockets != 8 || !math.IsInf(n.p.Tick(n.now), 1) {
			t.Fatalf("seed %d: at rest %d wait, %d channels, %d descriptors", seed, len(n.waiting), n.p.Channels(), n.sockets)
		}
	}
	golden.Assert(t, traces.String(), "golden/traces.txt")
}

// script notes effects.
type script struct {
	said []string
	no   bool
}

func (s *script) say(form string, args ...any) { s.said = append(s.said, fmt.Sprintf(form, args...)) }
func (s *script) Open(server, _ int) bool      { s.say("open %d", server); return !s.no }
func (s *script) Begin(ch int, t Token)        { s.say("begin %v on %d", t, ch) }
func (s *script) Refuse(t Token, why Why)      { s.say("refuse %v %d", t, why) }
func (s *script) Close(ch int)                 { s.say("close %d", ch) }
func (s *script) Ping(ch int)                  { s.say("ping %d", ch) }

func TestBackoffGrowsAndEnds(t *testing.T) {
	s := &script{}
	p := New(s, Settings{Most: 1, Streams: 10, Waiting: 9, Connect: 10, Idle: 1e6, Backoff: 100, BackoffMost: 400}, func() float64 { return 0.5 })
	p.Server(0, 0, true, false)
	opened := 0
	for now := 0.0; now < 2000; now += 5 {
		before := p.Count.Opened
		p.Want(now, 0, now)
		if p.Count.Opened > before {
			opened++
			p.Lost(now, 0)
		}
	}
	if opened != 7 { // at 0, 100, 300, 700, 1100, 1500, 1900
		t.Error(opened, "connects in two seconds")
	}
	if p.Waiting() != 0 {
		t.Error(p.Waiting(), "wait")
	}
}

func TestAMutePeerIsPingedAndLetGo(t *testing.T) {
	s := &script{}
	p := New(s, Settings{Most: 1, Streams: 10, Waiting: 9, Connect: 10, Idle: 1e6, Backoff: 1, BackoffMost: 1, Ping: 100, PingWait: 50},
		func() float64 { return 0.5 })
	p.Server(0, 0, true, false)
	p.Want(0, 0, "a")
	p.Up(1, 0, 10)
	for now := 1.0; now <= 200; {
		next := p.Tick(now)
		if math.IsInf(next, 1) {
			break
		}
		now = max(next, now+1)
	}
	if fmt.Sprint(s.said) != "[open 0 begin a on 0 ping 0 close 0]" {
		t.Error(s.said)
	}
}

func TestWithoutDescriptors(t *testing.T) {
	s := &script{no: true}
	p := New(s, Settings{Most: 1, Streams: 10, Waiting: 9}, func() float64 { return 0.5 })
	p.Server(0, 0, true, false)
	p.Want(0, 0, "a")
	if fmt.Sprint(s.said) != "[open 0 refuse a 3]" || p.Channels() != 0 {
		t.Error(s.said)
	}
}
