package chain_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/submit"
)

// node is one machine: its disk and, while it runs, one incarnation of its process.
type node struct {
	world   *world
	address string
	counts  bool
	disk    *disk

	incarnation    int
	running        bool
	removed        bool // for good
	suspendedUntil core.Time
	replica        *chain.Replica
	machine        *register
	client         *submit.Client
	generation     int // of timers: older ones are void
	wakeAt         core.Time
	replies        map[uint64]func(core.Reply)
	requests       uint64
	epoch          uint64
	view           *nodepb.View
	committed      uint64
	bootstrap      bool
}

func (n *node) describe() string {
	status := n.replica.Status()
	return fmt.Sprintf("disk=%s epoch=%d role=%v wedged=%v committed=%d pending=%v healthy=%v chain=%v voters=%d",
		n.disk.id, status.Epoch, status.Role, status.Wedged, status.Committed, status.HasPending, status.DiskHealthy,
		status.View.GetChain(), len(status.View.GetVoters()))
}

// start begins an incarnation of the node's process.
func (n *node) start() {
	if n.running || n.removed {
		return
	}
	w := n.world
	n.incarnation++
	n.running = true
	n.suspendedUntil = 0
	n.generation++
	n.wakeAt = core.Never
	n.epoch = 0
	n.view = nil
	n.committed = 0
	n.replies = make(map[uint64]func(core.Reply))
	n.client = submit.New(submit.Options{Random: rand.New(rand.NewPCG(w.random.Uint64(), 1))})
	n.replica = nil
	w.logf("start %s incarnation %d", n.address, n.incarnation)
	if n.counts {
		n.startReplica()
	}
	n.notifyMembers()
	n.arm()
}

func (n *node) startReplica() {
	w := n.world
	n.machine = newRegister()
	n.machine.applied = func(entry *nodepb.Entry) { w.checks.applied(n, entry) }
	replica, outputs, err := chain.New(w.now, chain.Options{
		Self:             &nodepb.Voter{DiskId: n.disk.id, Address: n.address, NodeId: n.nodeID()},
		FounderAddresses: w.founders,
		Founding:         n.bootstrap,
		Tolerance:        w.settings.tolerance,
		StateMachine:     n.machine,
	}, slices.Clone(n.disk.records), rand.New(rand.NewPCG(w.random.Uint64(), 2)))
	assert.NilError(w.t, err)
	n.replica = replica
	n.carryOut(outputs)
}

func (n *node) nodeID() string { return fmt.Sprintf("%s#%d", n.address, n.incarnation) }

// notifyMembers names the core machines as membership would, again every half second.
func (n *node) notifyMembers() {
	w := n.world
	var members []*nodepb.Member
	for _, address := range w.order {
		if other := w.nodes[address]; other.counts && other.running {
			members = append(members, &nodepb.Member{Address: address, CountsForQuorum: true, DiskId: other.disk.id})
		}
	}
	n.carryOut(n.client.SetCoreMembers(w.now, members))
	if n.replica != nil {
		n.replica.SetRelays(w.relays())
		n.carryOut(n.replica.SetQuorumMembers(w.now, members))
	}
	incarnation := n.incarnation
	w.after(500*time.Millisecond, func() {
		if n.running && n.incarnation == incarnation {
			n.input(func() { n.notifyMembers() })
		}
	})
}

// relays lists the machines that run, those outside the core first.
func (w *world) relays() []string {
	var proxies, counting []string
	for _, address := range w.order {
		switch other := w.nodes[address]; {
		case !other.running:
		case other.counts:
			counting = append(counting, address)
		default:
			proxies = append(proxies, address)
		}
	}
	return append(proxies, counting...)
}

// route is the relay by which a message goes, as the shell of a node chooses it.
func (n *node) route(output core.Send) string {
	if output.Via != "" || n.replica == nil || output.Message.GetVoterPing() != nil || output.Message.GetVoterPong() != nil {
		return output.Via
	}
	return n.replica.Route(output.Destination)
}

// input runs one step of the process: at once, or when its suspension ends.
func (n *node) input(step func()) {
	if !n.running {
		return
	}
	if n.suspendedUntil > n.world.now {
		incarnation := n.incarnation
		n.world.at(n.suspendedUntil, func() {
			if n.incarnation == incarnation {
				n.input(step)
			}
		})
		return
	}
	step()
	n.observe()
	n.arm()
}

// observe hands the view to the client, and the status to the checks.
func (n *node) observe() {
	if n.replica == nil {
		return
	}
	status := n.replica.Status()
	if status.Epoch > n.epoch {
		n.epoch = status.Epoch
		n.carryOut(n.client.SetView(n.world.now, status.View))
	}
	n.world.checks.observed(n, status)
}

// arm sets the timer to the node's next deadline.
func (n *node) arm() {
	deadline := n.client.Deadline()
	if n.replica != nil {
		deadline = min(deadline, n.replica.Deadline())
	}
	if deadline == n.wakeAt || deadline == core.Never {
		return
	}
	n.wakeAt = deadline
	n.generation++
	generation := n.generation
	incarnation := n.incarnation
	late := time.Duration(n.world.random.Int64N(int64(2 * time.Millisecond)))
	n.world.at(max(deadline, n.world.now)+late, func() {
		if n.generation == generation && n.incarnation == incarnation {
			n.input(n.tick)
		}
	})
}

func (n *node) tick() {
	n.wakeAt = core.Never
	n.carryOut(n.client.Tick(n.world.now))
	if n.replica == nil {
		return
	}
	n.carryOut(n.replica.Tick(n.world.now))
	if n.replica.Deadline() <= n.world.now {
		n.world.checks.errorf("%s wants to be woken again at once", n.address)
	}
}

func (n *node) receive(from core.Peer, envelope *nodepb.Envelope) {
	if envelope.GetSubmitReply() != nil {
		n.carryOut(n.client.Receive(n.world.now, from, envelope))
		return
	}
	if n.replica != nil {
		n.carryOut(n.replica.Receive(n.world.now, from, envelope))
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

// write puts records on the disk, and reports the end of that to the process.
func (n *node) write(write core.Write) {
	w := n.world
	if n.disk.inFlight != nil {
		w.t.Errorf("%s: a write while another is out", n.address)
	}
	n.disk.inFlight = &write
	incarnation := n.incarnation
	w.at(n.disk.end(w.now, w.random), func() {
		if n.incarnation != incarnation || !n.running || n.disk.inFlight == nil {
			return
		}
		err := n.disk.complete(w.random)
		n.input(func() {
			n.carryOut(n.replica.Written(w.now, write.Token, err))
			if len(n.disk.records) > 60 {
				n.carryOut(n.replica.RequestCheckpoint(w.now))
			}
		})
	})
}

// kill ends the process; a part of the write in flight may be on the disk.
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

func (n *node) suspend(d time.Duration) {
	n.world.logf("suspend %s for %v", n.address, d)
	n.suspendedUntil = n.world.now + d
}

// call submits a command, or reads where it is nil.
func (n *node) call(command *nodepb.Command, reply func(core.Reply)) {
	n.requests++
	request := n.requests
	n.replies[request] = reply
	n.input(func() {
		if command == nil {
			n.carryOut(n.client.Read(n.world.now, request, 0))
			return
		}
		n.carryOut(n.client.Submit(n.world.now, request, command))
	})
}
