package connpool

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/golden"
)

const (
	randomServers     = 3
	randomDescriptors = 8
	randomSteps       = 3000
)

// network carries out the pool's effects in a random run, and checks what the pool may do.
type network struct {
	t           *testing.T
	seed        uint64
	rng         *rand.Rand
	pool        *Pool
	settings    Settings
	now         float64
	connected   map[int]int // server by connection
	connecting  map[int]int // server by connection
	streams     map[int]map[StreamRequest]bool
	waiting     map[StreamRequest]int // server by request
	draining    map[int]bool          // by server
	descriptors int                   // that are left
	outcomes    map[StreamRequest]int // streams and rejections that a request got
	maxStreams  map[int]int           // by connection
	requests    int
	trace       io.Writer // each effect, for the golden test
}

func newNetwork(t *testing.T, seed uint64) *network {
	n := &network{
		t:    t,
		seed: seed,
		rng:  rand.New(rand.NewPCG(seed, 5)),
		settings: Settings{MaxConnections: 2, MaxStreams: 4, MaxWaiting: 5, ConnectTimeout: 50, IdleTimeout: 300,
			InitialBackoff: 20, MaxBackoff: 200, KeepaliveTime: 100, KeepaliveTimeout: 50},
		connected:   map[int]int{},
		connecting:  map[int]int{},
		streams:     map[int]map[StreamRequest]bool{},
		waiting:     map[StreamRequest]int{},
		draining:    map[int]bool{},
		descriptors: randomDescriptors,
		outcomes:    map[StreamRequest]int{},
		maxStreams:  map[int]int{},
	}
	n.pool = New(n, n.settings, n.rng.Float64)
	for server := range randomServers {
		n.pool.UpdateServer(0, server, true, false)
	}
	return n
}

func (n *network) Dial(server, connection int) bool {
	n.log("open", server, connection)
	if n.draining[server] {
		n.t.Fatalf("connected to server %d, which drains", server)
	}
	if n.descriptors <= 0 {
		return false
	}
	n.descriptors--
	for _, other := range n.connecting {
		if other == server {
			n.t.Fatalf("two connects to server %d at a time", server)
		}
	}
	n.connecting[connection] = server
	return true
}

func (n *network) StartStream(connection int, request StreamRequest) {
	n.log("begin", connection, request)
	server, connected := n.connected[connection]
	if !connected || n.draining[server] {
		n.t.Fatalf("a stream starts on connection %d: connected %v, server %d draining %v", connection, connected,
			server, n.draining[server])
	}
	if len(n.streams[connection]) >= n.maxStreams[connection] {
		n.t.Fatalf("connection %d has %d streams", connection, len(n.streams[connection]))
	}
	n.streams[connection][request] = true
	n.outcomes[request]++
	delete(n.waiting, request)
}

func (n *network) Reject(request StreamRequest, reason Reason) {
	n.log("refuse", request, int(reason))
	n.outcomes[request]++
	delete(n.waiting, request)
}

func (n *network) Close(connection int) {
	n.log("close", connection)
	n.descriptors++
	delete(n.connecting, connection)
	delete(n.connected, connection)
	delete(n.streams, connection)
}

func (n *network) Ping(connection int) { n.log("ping", connection) }

func (n *network) log(effect string, subjects ...any) {
	if n.trace != nil {
		fmt.Fprintln(n.trace, n.now, effect, subjects)
	}
}

// pick draws a key of a map, without regard to the map's order. It draws for an empty map too.
func pick[K comparable, V any](rng *rand.Rand, m map[K]V, compare func(a, b K) int) (key K, ok bool) {
	index := rng.IntN(max(len(m), 1))
	if len(m) == 0 {
		return key, false
	}
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compare)
	return keys[index], true
}

func compareInts(a, b int) int { return a - b }

func compareRequests(a, b StreamRequest) int { return a.(int) - b.(int) }

// step has one random event happen.
func (n *network) step() {
	n.now += n.rng.Float64() * 4
	switch n.rng.IntN(12) {
	case 0, 1, 2, 3:
		n.requests++
		n.waiting[n.requests] = n.rng.IntN(randomServers)
		n.pool.RequestStream(n.now, n.waiting[n.requests], n.requests)
	case 4, 5, 6:
		n.endStream()
	case 7, 8:
		n.endConnect()
	case 9:
		n.endConnection()
	case 10:
		n.drainOrReturn()
	case 11:
		for connection := range n.connected {
			n.pool.Received(n.now, connection)
		}
	}
	n.pool.Tick(n.now)
}

func (n *network) endStream() {
	connection, ok := pick(n.rng, n.streams, compareInts)
	if !ok || len(n.streams[connection]) == 0 {
		return
	}
	request, _ := pick(n.rng, n.streams[connection], compareRequests)
	delete(n.streams[connection], request)
	n.pool.StreamDone(n.now, connection)
}

func (n *network) endConnect() {
	connection, ok := pick(n.rng, n.connecting, compareInts)
	if !ok {
		return
	}
	server := n.connecting[connection]
	delete(n.connecting, connection)
	if n.rng.IntN(3) == 0 {
		n.descriptors++
		n.pool.ConnectionLost(n.now, connection)
		return
	}
	n.connected[connection], n.streams[connection] = server, map[StreamRequest]bool{}
	n.maxStreams[connection] = min(n.settings.MaxStreams, 1+n.rng.IntN(6))
	n.pool.Connected(n.now, connection, n.maxStreams[connection])
}

func (n *network) endConnection() {
	connection, ok := pick(n.rng, n.connected, compareInts)
	if !ok || n.rng.IntN(4) != 0 {
		return
	}
	delete(n.connected, connection)
	if n.rng.IntN(2) == 0 {
		delete(n.streams, connection)
		n.descriptors++
		n.pool.ConnectionLost(n.now, connection)
		return
	}
	n.connected[connection] = 0 // it still counts as open
	n.pool.GoAway(n.now, connection)
}

func (n *network) drainOrReturn() {
	server := n.rng.IntN(randomServers)
	if n.rng.IntN(6) != 0 {
		return
	}
	if n.draining[server] {
		delete(n.draining, server)
		n.pool.UpdateServer(n.now, server, true, false)
		return
	}
	n.draining[server] = true
	n.pool.UpdateServer(n.now, server, false, false)
}

// check compares what the pool counts with what there is.
func (n *network) check() {
	n.t.Helper()
	for request, times := range n.outcomes {
		if times > 1 {
			n.t.Fatalf("seed %d: request %v got %d streams or rejections", n.seed, request, times)
		}
	}
	if len(n.waiting) != n.pool.Waiting() {
		n.t.Fatalf("seed %d: %d wait, the pool says %d", n.seed, len(n.waiting), n.pool.Waiting())
	}
	if open, counted := len(n.connected)+len(n.connecting), n.pool.Connections(); open != counted {
		n.t.Fatalf("seed %d: %d connections, the pool says %d", n.seed, open, counted)
	}
	streams := 0
	for _, list := range n.streams {
		streams += len(list)
	}
	if streams != n.pool.Streams() {
		n.t.Fatalf("seed %d: %d streams, the pool says %d", n.seed, streams, n.pool.Streams())
	}
}

// rest lets all streams end, and checks that nothing is left.
func (n *network) rest() {
	n.t.Helper()
	for range 400 {
		n.now += 10
		for connection := range n.connected {
			n.pool.Received(n.now, connection)
			for request := range n.streams[connection] {
				delete(n.streams[connection], request)
				n.pool.StreamDone(n.now, connection)
			}
		}
		n.pool.Tick(n.now)
	}
	next := n.pool.Tick(n.now)
	if len(n.waiting) > 0 || n.pool.Connections() > 0 || n.descriptors != randomDescriptors || !math.IsInf(next, 1) {
		n.t.Fatalf("seed %d: at rest %d wait, %d connections, %d descriptors", n.seed, len(n.waiting),
			n.pool.Connections(), n.descriptors)
	}
}

// TestRandomPools plays random events, and freezes the effects that follow.
func TestRandomPools(t *testing.T) {
	var traces strings.Builder
	for seed := range uint64(200) {
		n := newNetwork(t, seed)
		trace := fnv.New64a()
		n.trace = trace
		for range randomSteps {
			n.step()
			n.check()
		}
		n.trace = nil // what follows happens in a map's order
		fmt.Fprintf(&traces, "%d: effects %x, counters %v\n", seed, trace.Sum64(), n.pool.Counters)
		n.rest()
	}
	golden.Assert(t, traces.String(), "golden/traces.txt")
}
