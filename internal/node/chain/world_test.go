package chain_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/submit"
)

// world runs nodes under a virtual clock, with a network and disks that do what they are told. It checks after each
// event that what was promised holds.
type world struct {
	t        testing.TB
	random   *rand.Rand
	now      core.Time
	events   eventHeap
	sequence int
	nodes    map[string]*node // by address
	order    []string
	net      network
	checks   *checks
	settings worldSettings
	disks    int
	sync     time.Duration // of a disk in order
	trace    []string
}

// worldSettings are the size of a world.
type worldSettings struct {
	core      int
	founders  int
	proxies   int
	tolerance int
	late      int // number of the core machine, from 1 on, that the test starts itself
}

// node is one machine: its disk and, while it runs, one life of its process.
type node struct {
	world   *world
	address string
	counts  bool
	disk    *disk

	life        int
	running     bool
	frozenUntil core.Time
	store       *chain.Store
	machine     *register
	client      *submit.Client
	generation  int // of timers: older ones are void
	wakeAt      core.Time
	replies     map[uint64]func(core.Reply)
	requests    uint64
	epoch       uint64
	view        *nodepb.View
	committed   uint64
	bootstrap   bool
}

type event struct {
	at       core.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// newWorld starts all machines within 0.3 s, with empty disks.
func newWorld(t testing.TB, seed uint64, settings worldSettings) *world {
	w := &world{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 0x6b657374)),
		nodes:    make(map[string]*node),
		settings: settings,
		sync:     2 * time.Millisecond,
	}
	w.net = network{world: w, delay: 2 * time.Millisecond}
	w.checks = newChecks(w)
	for i := range settings.core {
		w.addNode(fmt.Sprintf("core-%d", i+1), true).bootstrap = true
	}
	for i := range settings.proxies {
		w.addNode(fmt.Sprintf("proxy-%d", i+1), false)
	}
	for i, address := range w.order {
		n := w.nodes[address]
		if i+1 == settings.late {
			continue
		}
		w.after(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), n.start)
	}
	return w
}

func (w *world) addNode(address string, counts bool) *node {
	n := &node{world: w, address: address, counts: counts}
	if counts {
		n.disk = w.newDisk()
	}
	w.nodes[address] = n
	w.order = append(w.order, address)
	return n
}

func (w *world) newDisk() *disk {
	w.disks++
	return &disk{id: fmt.Sprintf("disk-%02d-%04x", w.disks, w.random.IntN(1<<16)), sync: w.sync}
}

func (w *world) founders() []string { return w.order[:w.settings.founders] }

func (w *world) at(at core.Time, run func()) {
	w.sequence++
	heap.Push(&w.events, event{at: max(at, w.now), sequence: w.sequence, run: run})
}

func (w *world) after(delay time.Duration, run func()) { w.at(w.now+delay, run) }

// run plays the events up to the time.
func (w *world) run(until core.Time) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
		if w.t.Failed() {
			w.fail()
		}
	}
	w.now = until
}

// runFor plays for a while.
func (w *world) runFor(d time.Duration) { w.run(w.now + d) }

// runUntil plays until the condition holds, and fails the test if it doesn't by the limit.
func (w *world) runUntil(what string, limit time.Duration, condition func() bool) time.Duration {
	start := w.now
	for !condition() {
		if w.now-start > limit || len(w.events) == 0 {
			w.logf("not within %v: %s", limit, what)
			w.t.Errorf("not within %v: %s", limit, what)
			w.fail()
		}
		w.run(w.events[0].at)
	}
	return w.now - start
}

func (w *world) fail() {
	w.t.Helper()
	for _, address := range w.order {
		n := w.nodes[address]
		if n.store != nil {
			w.logf("%s running=%v frozen=%v %s", address, n.running, w.now < n.frozenUntil, n.describe())
		}
	}
	lines := w.trace[max(0, len(w.trace)-400):]
	w.t.Fatalf("at %v\n%s", w.now, strings.Join(lines, "\n"))
}

func (w *world) logf(format string, arguments ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%10v ", w.now)+fmt.Sprintf(format, arguments...))
}

func (n *node) describe() string {
	status := n.store.Status()
	return fmt.Sprintf("disk=%s epoch=%d role=%v wedged=%v committed=%d pending=%v healthy=%v chain=%v voters=%d",
		n.disk.id, status.Epoch, status.Role, status.Wedged, status.Committed, status.Pending, status.DiskHealthy,
		status.View.GetChain(), len(status.View.GetVoters()))
}

// start begins a life of the node's process.
func (n *node) start() {
	if n.running {
		return
	}
	w := n.world
	n.life++
	n.running = true
	n.frozenUntil = 0
	n.generation++
	n.wakeAt = core.Never
	n.epoch = 0
	n.view = nil
	n.committed = 0
	n.replies = make(map[uint64]func(core.Reply))
	n.client = submit.New(submit.Options{Random: rand.New(rand.NewPCG(w.random.Uint64(), 1))})
	n.store = nil
	w.logf("start %s life %d", n.address, n.life)
	if n.counts {
		n.startStore()
	}
	n.tellPeers()
	n.arm()
}

func (n *node) startStore() {
	w := n.world
	n.machine = newRegister()
	n.machine.applied = func(entry *nodepb.Entry) { w.checks.applied(n, entry) }
	store, outputs, err := chain.New(w.now, chain.Options{
		Self:      &nodepb.Voter{DiskId: n.disk.id, Address: n.address, NodeId: n.nodeID()},
		Founders:  w.founders(),
		Founding:  n.bootstrap,
		Tolerance: w.settings.tolerance,
		Machine:   n.machine,
	}, slices.Clone(n.disk.records), rand.New(rand.NewPCG(w.random.Uint64(), 2)))
	assert.NilError(w.t, err)
	n.store = store
	n.carryOut(outputs)
}

func (n *node) nodeID() string { return fmt.Sprintf("%s#%d", n.address, n.life) }

// tellPeers names the core machines as membership would, which goes on while the process lives.
func (n *node) tellPeers() {
	w := n.world
	var members []*nodepb.Member
	for _, address := range w.order {
		if other := w.nodes[address]; other.counts && other.running {
			members = append(members, &nodepb.Member{Address: address, CountsForQuorum: true, DiskId: other.disk.id})
		}
	}
	n.carryOut(n.client.SetCore(w.now, members))
	if n.store != nil {
		n.carryOut(n.store.SetPeers(w.now, members))
	}
	life := n.life
	w.after(500*time.Millisecond, func() {
		if n.running && n.life == life {
			n.input(func() { n.tellPeers() })
		}
	})
}

// input runs one step of the process: at once, or when it thaws.
func (n *node) input(step func()) {
	if !n.running {
		return
	}
	if n.frozenUntil > n.world.now {
		life := n.life
		n.world.at(n.frozenUntil, func() {
			if n.life == life {
				n.input(step)
			}
		})
		return
	}
	step()
	n.observe()
	n.arm()
}

// observe hands the view to the client and lets the checks look.
func (n *node) observe() {
	if n.store == nil {
		return
	}
	status := n.store.Status()
	if status.Epoch > n.epoch {
		n.epoch = status.Epoch
		n.carryOut(n.client.SetView(n.world.now, status.View))
	}
	n.world.checks.observed(n, status)
}

// arm sets the timer to the node's next deadline.
func (n *node) arm() {
	deadline := n.client.Deadline()
	if n.store != nil {
		deadline = min(deadline, n.store.Deadline())
	}
	if deadline == n.wakeAt || deadline == core.Never {
		return
	}
	n.wakeAt = deadline
	n.generation++
	generation := n.generation
	life := n.life
	late := time.Duration(n.world.random.Int64N(int64(2 * time.Millisecond)))
	n.world.at(max(deadline, n.world.now)+late, func() {
		if n.generation == generation && n.life == life {
			n.input(n.tick)
		}
	})
}

func (n *node) tick() {
	n.wakeAt = core.Never
	n.carryOut(n.client.Tick(n.world.now))
	if n.store == nil {
		return
	}
	n.carryOut(n.store.Tick(n.world.now))
	if n.store.Deadline() <= n.world.now {
		n.world.checks.errorf("%s wants to be woken again at once", n.address)
	}
}

func (n *node) receive(from core.Peer, envelope *nodepb.Envelope) {
	if envelope.GetSubmitReply() != nil {
		n.carryOut(n.client.Receive(n.world.now, from, envelope))
		return
	}
	if n.store != nil {
		n.carryOut(n.store.Receive(n.world.now, from, envelope))
	}
}

func (n *node) carryOut(outputs []core.Output) {
	w := n.world
	for _, output := range outputs {
		switch output := output.(type) {
		case core.Send:
			w.net.send(n, output)
		case core.Write:
			n.write(output)
		case core.Reply:
			if reply := n.replies[output.Request]; reply != nil {
				delete(n.replies, output.Request)
				reply(output)
			}
		case core.Log:
			w.logf("%s: %s %v", n.address, output.Message, output.Fields)
		case core.Committed:
			w.checks.published(n, output.Entry.GetIndex())
		case core.Installed:
			w.checks.published(n, output.Snapshot.GetIndex())
		}
	}
}

// write puts records on the disk; the process hears of it when that is over.
func (n *node) write(write core.Write) {
	w := n.world
	if n.disk.out != nil {
		w.t.Errorf("%s: a write while another is out", n.address)
	}
	n.disk.out = &write
	life := n.life
	w.at(n.disk.end(w.now, w.random), func() {
		if n.life != life || !n.running || n.disk.out == nil {
			return
		}
		err := n.disk.complete(w.random)
		n.input(func() {
			n.carryOut(n.store.Written(w.now, write.Token, err))
			if len(n.disk.records) > 60 {
				n.carryOut(n.store.Compact(w.now))
			}
		})
	})
}

// kill ends the process; what was on its way to the disk may have arrived in part.
func (n *node) kill() {
	if !n.running {
		return
	}
	n.world.logf("kill %s", n.address)
	n.running = false
	if n.disk != nil {
		n.disk.stop(n.world.random)
	}
}

// wipe gives the machine an empty disk; bootstrap is false from then on.
func (n *node) wipe() {
	n.kill()
	n.disk = n.world.newDisk()
	n.bootstrap = false
	n.world.logf("wipe %s, now %s", n.address, n.disk.id)
}

func (n *node) freeze(d time.Duration) {
	n.world.logf("freeze %s for %v", n.address, d)
	n.frozenUntil = n.world.now + d
}

// call submits a command, or reads where it is nil.
func (n *node) call(command *nodepb.Command, reply func(core.Reply)) {
	n.requests++
	request := n.requests
	n.replies[request] = reply
	n.input(func() {
		if command == nil {
			n.carryOut(n.client.Read(n.world.now, request))
			return
		}
		n.carryOut(n.client.Submit(n.world.now, request, command))
	})
}

// network carries messages with delay, loss, repeats and cuts.
type network struct {
	world     *world
	delay     time.Duration
	jitter    time.Duration
	loss      float64
	duplicate float64
	straggle  float64            // chance that a message takes seconds
	cuts      map[[2]string]bool // from, to
	dieAfter  float64            // chance that a machine dies right after it sent something
	died      func(n *node)
	sent      int
}

func (t *network) send(from *node, output core.Send) {
	t.sent++
	t.deliver(from, output)
	if t.world.random.Float64() < t.duplicate {
		t.deliver(from, output)
	}
	if t.dieAfter > 0 && weighty(output.Message) && t.world.random.Float64() < t.dieAfter {
		t.world.after(0, func() { t.died(from) })
	}
}

// weighty reports whether others rely on the message.
func weighty(envelope *nodepb.Envelope) bool {
	switch envelope.GetBody().(type) {
	case *nodepb.Envelope_Promise, *nodepb.Envelope_Accepted, *nodepb.Envelope_Accept, *nodepb.Envelope_Append,
		*nodepb.Envelope_SubmitReply, *nodepb.Envelope_CatchUpDone, *nodepb.Envelope_ViewDecided:
		return true
	default:
		return false
	}
}

func (t *network) deliver(from *node, output core.Send) {
	w := t.world
	to := w.nodes[output.To]
	if to == nil || w.random.Float64() < t.loss || t.cuts[[2]string{from.address, output.To}] {
		return
	}
	envelope := proto.CloneOf(output.Message)
	peer := core.Peer{NodeID: from.nodeID(), Address: from.address}
	delay := t.delay/2 + time.Duration(w.random.Int64N(int64(t.delay+t.jitter)+1))
	if w.random.Float64() < t.straggle {
		delay += time.Duration(w.random.Int64N(int64(4 * time.Second)))
	}
	life := to.life
	w.after(delay, func() {
		if to.life != life || !to.running || t.cuts[[2]string{peer.Address, to.address}] {
			return
		}
		to.input(func() { to.receive(peer, envelope) })
	})
}

// cut stops messages from one machine to another.
func (t *network) cut(from, to string) {
	if t.cuts == nil {
		t.cuts = make(map[[2]string]bool)
	}
	t.cuts[[2]string{from, to}] = true
}

// cutBoth stops messages between two machines.
func (t *network) cutBoth(a, b string) {
	t.cut(a, b)
	t.cut(b, a)
}

// heal joins everything again.
func (t *network) heal() { t.cuts = nil }
