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

// network is the network as a random run has it, with checks of what the pool may do.
type network struct {
	t           *testing.T
	pool        *Pool
	now         float64
	connected   map[int]int // channel to server; negative server: still opening
	connecting  map[int]int
	streams     map[int]map[StreamRequest]bool
	waiting     map[StreamRequest]int
	draining    map[int]bool
	rejected    int
	descriptors int
	dials       map[int][]float64
	outcomes    map[StreamRequest]int
	maxStreams  map[int]int
	trace       io.Writer // each effect, for the golden test
}

func (n *network) Dial(server, channel int) bool {
	n.log("open", server, channel)
	if n.draining[server] {
		n.t.Fatalf("opened to server %d, which is draining", server)
	}
	if n.descriptors <= 0 {
		return false
	}
	n.descriptors--
	for _, s := range n.connecting {
		if s == server {
			n.t.Fatalf("two connects to server %d at a time", server)
		}
	}
	n.connecting[channel] = server
	n.dials[server] = append(n.dials[server], n.now)
	return true
}

func (n *network) StartStream(channel int, t StreamRequest) {
	n.log("begin", channel, t)
	s, up := n.connected[channel]
	if !up || n.draining[s] {
		n.t.Fatalf("a stream begins on channel %d: up %v, server %d draining %v", channel, up, s, n.draining[s])
	}
	if len(n.streams[channel]) >= n.maxStreams[channel] {
		n.t.Fatalf("channel %d has %d streams", channel, len(n.streams[channel]))
	}
	n.streams[channel][t] = true
	n.outcomes[t]++
	delete(n.waiting, t)
}

func (n *network) Reject(t StreamRequest, why Reason) {
	n.log("refuse", t, int(why))
	n.rejected++
	n.outcomes[t]++
	delete(n.waiting, t)
}

func (n *network) Close(channel int) {
	n.log("close", channel)
	n.descriptors++
	delete(n.connecting, channel)
	delete(n.connected, channel)
	delete(n.streams, channel)
}

func (n *network) Ping(channel int) { n.log("ping", channel) }

func (n *network) log(effect string, subjects ...any) {
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
		n := &network{t: t, connected: map[int]int{}, connecting: map[int]int{}, streams: map[int]map[StreamRequest]bool{}, waiting: map[StreamRequest]int{},
			draining: map[int]bool{}, descriptors: 8, dials: map[int][]float64{}, outcomes: map[StreamRequest]int{}, maxStreams: map[int]int{}}
		trace := fnv.New64a()
		n.trace = trace
		set := Settings{MaxConnections: 2, MaxStreams: 4, MaxWaiting: 5, ConnectTimeout: 50, IdleTimeout: 300, InitialBackoff: 20, MaxBackoff: 200, KeepaliveTime: 100, KeepaliveTimeout: 50}
		n.pool = New(n, set, rng.Float64)
		const servers = 3
		for s := range servers {
			n.pool.UpdateServer(0, s, true, false)
		}
		asked := 0
		for range 3000 {
			n.now += rng.Float64() * 4
			switch rng.IntN(12) {
			case 0, 1, 2, 3:
				asked++
				n.waiting[asked] = rng.IntN(servers)
				n.pool.RequestStream(n.now, n.waiting[asked], asked)
			case 4, 5, 6:
				if ch, ok := pick(rng, n.streams, less); ok && len(n.streams[ch]) > 0 {
					tk, _ := pick(rng, n.streams[ch], func(a, b StreamRequest) bool { return a.(int) < b.(int) })
					delete(n.streams[ch], tk)
					n.pool.StreamDone(n.now, ch)
				}
			case 7, 8:
				if ch, ok := pick(rng, n.connecting, less); ok {
					s := n.connecting[ch]
					if delete(n.connecting, ch); rng.IntN(3) == 0 {
						n.descriptors++
						n.pool.ConnectionLost(n.now, ch)
					} else {
						n.connected[ch], n.streams[ch] = s, map[StreamRequest]bool{}
						n.maxStreams[ch] = min(set.MaxStreams, 1+rng.IntN(6))
						n.pool.Connected(n.now, ch, n.maxStreams[ch])
					}
				}
			case 9:
				if ch, ok := pick(rng, n.connected, less); ok && rng.IntN(4) == 0 {
					if delete(n.connected, ch); rng.IntN(2) == 0 {
						delete(n.streams, ch)
						n.descriptors++
						n.pool.ConnectionLost(n.now, ch)
					} else {
						n.connected[ch] = 0 // it still counts as open
						n.pool.GoAway(n.now, ch)
					}
				}
			case 10:
				if s := rng.IntN(servers); rng.IntN(6) == 0 {
					if n.draining[s] {
						delete(n.draining, s)
						n.pool.UpdateServer(n.now, s, true, false)
					} else {
						n.draining[s] = true
						n.pool.UpdateServer(n.now, s, false, false)
					}
				}
			case 11:
				for ch := range n.connected {
					n.pool.Received(n.now, ch)
				}
			}
			n.pool.Tick(n.now)
			for tk, times := range n.outcomes {
				if times > 1 {
					t.Fatalf("seed %d: stream %v had %d places or refusals", seed, tk, times)
				}
			}
			if len(n.waiting) != n.pool.Waiting() {
				t.Fatalf("seed %d: %d wait, the pool says %d", seed, len(n.waiting), n.pool.Waiting())
			}
			if got := n.pool.Connections(); got != len(n.connected)+len(n.connecting) {
				t.Fatalf("seed %d: %d channels, the pool says %d", seed, len(n.connected)+len(n.connecting), got)
			}
			streams := 0
			for _, list := range n.streams {
				streams += len(list)
			}
			if streams != n.pool.Streams() {
				t.Fatalf("seed %d: %d streams, the pool says %d", seed, streams, n.pool.Streams())
			}
		}
		// What follows runs in a map's order.
		n.trace = nil
		fmt.Fprintf(&traces, "%d: effects %x, counters %v\n", seed, trace.Sum64(), n.pool.Counters)
		// At rest nothing waits for ever.
		for range 400 {
			n.now += 10
			for ch := range n.connected {
				n.pool.Received(n.now, ch)
				for tk := range n.streams[ch] {
					delete(n.streams[ch], tk)
					n.pool.StreamDone(n.now, ch)
				}
			}
			n.pool.Tick(n.now)
		}
		if len(n.waiting) > 0 || n.pool.Connections() > 0 || n.descriptors != 8 || !math.IsInf(n.pool.Tick(n.now), 1) {
			t.Fatalf("seed %d: at rest %d wait, %d channels, %d descriptors", seed, len(n.waiting), n.pool.Connections(), n.descriptors)
		}
	}
	golden.Assert(t, traces.String(), "golden/traces.txt")
}

// effectLog notes effects.
type effectLog struct {
	effects      []string
	noDescriptor bool
}

func (s *effectLog) add(form string, args ...any) {
	s.effects = append(s.effects, fmt.Sprintf(form, args...))
}
func (s *effectLog) Dial(server, _ int) bool             { s.add("open %d", server); return !s.noDescriptor }
func (s *effectLog) StartStream(ch int, t StreamRequest) { s.add("begin %v on %d", t, ch) }
func (s *effectLog) Reject(t StreamRequest, why Reason)  { s.add("refuse %v %d", t, why) }
func (s *effectLog) Close(ch int)                        { s.add("close %d", ch) }
func (s *effectLog) Ping(ch int)                         { s.add("ping %d", ch) }

func TestBackoffGrowsAndEnds(t *testing.T) {
	s := &effectLog{}
	p := New(s, Settings{MaxConnections: 1, MaxStreams: 10, MaxWaiting: 9, ConnectTimeout: 10, IdleTimeout: 1e6, InitialBackoff: 100, MaxBackoff: 400}, func() float64 { return 0.5 })
	p.UpdateServer(0, 0, true, false)
	opened := 0
	for now := 0.0; now < 2000; now += 5 {
		before := p.Counters.Opened
		p.RequestStream(now, 0, now)
		if p.Counters.Opened > before {
			opened++
			p.ConnectionLost(now, 0)
		}
	}
	if opened != 7 { // at 0, 100, 300, 700, 1100, 1500, 1900
		t.Error(opened, "connects in two seconds")
	}
	if p.Waiting() != 0 {
		t.Error(p.Waiting(), "wait")
	}
}

func TestUnresponsivePeerIsPingedThenClosed(t *testing.T) {
	s := &effectLog{}
	p := New(s, Settings{MaxConnections: 1, MaxStreams: 10, MaxWaiting: 9, ConnectTimeout: 10, IdleTimeout: 1e6, InitialBackoff: 1, MaxBackoff: 1, KeepaliveTime: 100, KeepaliveTimeout: 50},
		func() float64 { return 0.5 })
	p.UpdateServer(0, 0, true, false)
	p.RequestStream(0, 0, "a")
	p.Connected(1, 0, 10)
	for now := 1.0; now <= 200; {
		next := p.Tick(now)
		if math.IsInf(next, 1) {
			break
		}
		now = max(next, now+1)
	}
	if fmt.Sprint(s.effects) != "[open 0 begin a on 0 ping 0 close 0]" {
		t.Error(s.effects)
	}
}

func TestStreamIsRejectedWithoutDescriptor(t *testing.T) {
	s := &effectLog{noDescriptor: true}
	p := New(s, Settings{MaxConnections: 1, MaxStreams: 10, MaxWaiting: 9}, func() float64 { return 0.5 })
	p.UpdateServer(0, 0, true, false)
	p.RequestStream(0, 0, "a")
	if fmt.Sprint(s.effects) != "[open 0 refuse a 3]" || p.Connections() != 0 {
		t.Error(s.effects)
	}
}
