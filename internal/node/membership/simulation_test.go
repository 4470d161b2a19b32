package membership_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/coretest"
	"kestrelspread/internal/node/membership"
	"kestrelspread/internal/node/nodepb"
)

var seedsFlag = flag.Uint64("seeds", 0, "number of seeds of each test with faults; 0: a few")

// seeds returns how many seeds a test plays.
func seeds(usual uint64) uint64 {
	if *seedsFlag > 0 {
		return *seedsFlag
	}
	if testing.Short() {
		return min(usual, 2)
	}
	return usual
}

// world runs many memberships under one virtual clock, on a network with seeded latency, message
// loss and partitions.
type world struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	events    coretest.Schedule
	nodes     []*virtualNode // all processes that were started
	byAddress map[string]*virtualNode
	seeds     []string
	minDelay  time.Duration
	maxDelay  time.Duration
	loss      float64
	// partitioned reports whether all messages from one address to another are lost; nil: none.
	partitioned func(from, to string) bool
	// inspect is called with each message that arrives; nil: not called.
	inspect func(from, to *virtualNode, message *nodepb.Envelope)
	copies  map[*nodepb.Envelope]*nodepb.Envelope // where set: each message as it was sent
}

// virtualNode is one process of a node.
type virtualNode struct {
	world     *world
	id        string
	address   string
	startedAt time.Duration // its own clock starts here
	list      *membership.Membership
	dead      bool
	frozen    bool
	pending   []func() // inputs that arrived while it was frozen

	timerAt  time.Duration
	messages int
	bytes    int
	wakeUps  int
}

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	return &world{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 77)),
		byAddress: map[string]*virtualNode{},
		minDelay:  500 * time.Microsecond,
		maxDelay:  3 * time.Millisecond,
	}
}

func addressOf(i int) string { return fmt.Sprintf("10.%d.%d.%d:7560", 1+i%4, i/200, 1+i%200) }

// startAll starts n nodes within 0.3 s in random order, the first three of which are seeds, as
// DEPLOY.md has it.
func (w *world) startAll(n int) {
	w.seeds = nil
	for i := range min(n, 3) {
		w.seeds = append(w.seeds, addressOf(i))
	}
	for i := range n {
		w.after(w.span(300*time.Millisecond), func() { w.start(i) })
	}
	w.run(300 * time.Millisecond)
}

// start starts a process of the node with that number, and kills the previous one.
func (w *world) start(i int) *virtualNode { return w.startWith(i, 1) }

func (w *world) startWith(i int, incarnation uint64) *virtualNode {
	address := addressOf(i)
	if previous := w.byAddress[address]; previous != nil {
		previous.dead = true
	}
	name := fmt.Sprintf("front-%03d", i)
	node := &virtualNode{
		world:     w,
		id:        fmt.Sprintf("%s/%06x", name, w.random.Uint32()>>8),
		address:   address,
		startedAt: w.now,
		timerAt:   core.Never,
	}
	self := &nodepb.Member{
		NodeId:         node.id,
		Name:           name,
		Address:        address,
		ControlAddress: address[:len(address)-4] + "8381",
		Zone:           fmt.Sprintf("zone-%d", i%4),
		Region:         "region",
		ServesFront:    true,
		Incarnation:    incarnation,
	}
	options := membership.Options{Self: self, Seeds: w.seeds}
	node.list = membership.New(0, options, rand.New(rand.NewPCG(w.random.Uint64(), 1)))
	w.nodes = append(w.nodes, node)
	w.byAddress[address] = node
	node.arm()
	return node
}

// node returns the newest process of the node with that number.
func (w *world) node(i int) *virtualNode { return w.byAddress[addressOf(i)] }

// alive returns the processes that run.
func (w *world) alive() []*virtualNode {
	var alive []*virtualNode
	for _, node := range w.nodes {
		if !node.dead {
			alive = append(alive, node)
		}
	}
	return alive
}

func (w *world) span(below time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(below)))
}

func (w *world) after(delay time.Duration, call func()) {
	w.events.Add(w.now+delay, call)
}

// run lets a span of time pass.
func (w *world) run(span time.Duration) {
	w.t.Helper()
	w.until(span, func() bool { return false })
}

// until lets time pass until the condition holds, and returns how long that took; at most bound.
func (w *world) until(bound time.Duration, holds func() bool) time.Duration {
	begin := w.now
	end := begin + bound
	checked := begin - time.Second
	for w.events.Next() <= end {
		if w.now-checked >= 10*time.Millisecond {
			checked = w.now
			if holds() {
				return w.now - begin
			}
		}
		dueAt, call := w.events.Take()
		w.now = dueAt
		call()
	}
	w.now = end
	return bound
}

// expect lets time pass until the condition holds, and fails the test where it doesn't within the
// bound.
func (w *world) expect(bound time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	taken := w.until(bound, holds)
	assert.Assert(w.t, holds(), "not within %v: %s", bound, what)
	return taken
}

func (w *world) carry(from *virtualNode, to string, message *nodepb.Envelope) {
	if w.copies != nil && w.copies[message] == nil {
		w.copies[message] = proto.CloneOf(message)
	}
	if w.random.Float64() < w.loss {
		return
	}
	delay := w.minDelay + w.span(w.maxDelay-w.minDelay)
	w.after(delay, func() {
		receiver := w.byAddress[to]
		if receiver == nil || receiver.dead || w.partitioned != nil && w.partitioned(from.address, to) {
			return
		}
		receiver.take(func() {
			if w.inspect != nil {
				w.inspect(from, receiver, message)
			}
			peer := core.Peer{NodeID: from.id, Address: from.address}
			receiver.carryOut(receiver.list.Receive(receiver.clock(), peer, message))
		})
	})
}

// clock returns the node's own time.
func (n *virtualNode) clock() core.Time { return n.world.now - n.startedAt }

// take runs an input, or queues it while the node is frozen.
func (n *virtualNode) take(input func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.pending = append(n.pending, input)
	default:
		input()
		n.arm()
	}
}

// arm sets the timer to the deadline, unless it is set.
func (n *virtualNode) arm() {
	deadline := n.list.Deadline()
	if deadline == core.Never {
		n.timerAt = core.Never
		return
	}
	at := n.startedAt + deadline
	if at == n.timerAt {
		return
	}
	n.timerAt = at
	n.world.after(max(at-n.world.now, 0), func() {
		if n.timerAt == at {
			n.take(n.tick)
		}
	})
}

func (n *virtualNode) tick() {
	n.timerAt = core.Never
	if n.list.Deadline() > n.clock() {
		return
	}
	n.wakeUps++
	n.carryOut(n.list.Tick(n.clock()))
	assert.Assert(n.world.t, n.list.Deadline() > n.clock(), "a tick leaves another due at once")
}

func (n *virtualNode) carryOut(outputs []core.Output) {
	for _, output := range outputs {
		if send, is := output.(core.Send); is {
			n.messages++
			n.bytes += proto.Size(send.Message)
			n.world.carry(n, send.Destination, send.Message)
		}
	}
}

func (n *virtualNode) freeze() { n.frozen = true }

// thaw ends a freeze. Queued messages or the timer come first, at random.
func (n *virtualNode) thaw() {
	n.frozen = false
	pending := n.pending
	n.pending = nil
	if n.world.random.IntN(2) == 0 {
		n.take(n.tick)
	}
	for _, input := range pending {
		n.take(input)
	}
	n.take(n.tick)
}

func (n *virtualNode) kill() { n.dead = true }

func (n *virtualNode) leave() {
	n.carryOut(n.list.Leave(n.clock()))
	n.arm()
}

// watch counts the members in the lists of some nodes, and reads each list only where its revision
// has changed.
type watch struct {
	nodes  []*virtualNode
	ids    map[string]bool
	seen   []uint64 // revisions
	listed []int    // how many of the nodes each of them lists
}

func newWatch(nodes []*virtualNode) *watch {
	w := &watch{nodes: nodes, ids: map[string]bool{}, seen: make([]uint64, len(nodes)), listed: make([]int, len(nodes))}
	for _, node := range nodes {
		w.ids[node.id] = true
	}
	return w
}

func (w *watch) look() {
	for i, node := range w.nodes {
		if node.list.Revision() == w.seen[i] {
			continue
		}
		w.seen[i] = node.list.Revision()
		w.listed[i] = 0
		for _, member := range node.list.Members() {
			if w.ids[member.NodeId] {
				w.listed[i]++
			}
		}
	}
}

// agree reports whether each node lists just these.
func (w *watch) agree() bool {
	w.look()
	for i, node := range w.nodes {
		if w.listed[i] != len(w.nodes) || len(node.list.Members()) != len(w.nodes) {
			return false
		}
	}
	return true
}

// dropped reports whether one of the nodes does not list another of them.
func (w *watch) dropped() bool {
	w.look()
	for _, listed := range w.listed {
		if listed != len(w.nodes) {
			return true
		}
	}
	return false
}

// agree reports whether each of the nodes lists just these.
func agree(nodes []*virtualNode) bool { return newWatch(nodes).agree() }

// converged returns the condition that all running processes list each other and nobody else.
func (w *world) converged() func() bool {
	return newWatch(w.alive()).agree
}

// startConverged starts n nodes and lets them converge.
func (w *world) startConverged(n int) {
	w.t.Helper()
	w.startAll(n)
	w.expect(3*time.Second, "start", w.converged())
	w.run(10 * time.Second)
}
