package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	tick         = 10 * time.Millisecond
	testModel    = "model"
	testService  = "service"
	testLease    = 3 * time.Second
	testThaw     = 300 * time.Millisecond
	testVersion  = 10 * time.Second
	testLoadTime = 760 * time.Millisecond
)

// world is a fleet under a virtual clock: nodes that run the role, brokers, the control state and
// the links between them.
type world struct {
	t       *testing.T
	random  *rand.Rand
	now     core.Time
	events  []event
	nodes   []*testNode
	brokers []*testBroker

	epoch          uint64
	head           int
	target         uint64
	namedAt        map[uint64]core.Time
	grant          *nodepb.LeaseChange
	history        []grantChange
	fullSpeedLoads int // how many brokers load at full speed at once

	wasted int // orders that found the version loaded, or another order in progress

	orderLoss, answerLoss float64
}

// event is a scheduled action.
type event struct {
	dueAt core.Time
	run   func()
}

// grantChange is a committed state of the grant.
type grantChange struct {
	committedAt core.Time
	grant       *nodepb.LeaseChange
}

// testNode is one node with its machine.
type testNode struct {
	world                  *world
	index                  int
	incarnation            int
	machine                *Rollout
	epoch                  uint64 // newest known to it
	head                   bool
	headLeaseStart         core.Time
	grantAsOf              core.Time
	frozen                 bool
	partitioned            bool     // from the other nodes, not from the brokers
	deferredWhileFrozen    []func() // actions that came due while it was frozen
	missedWhilePartitioned []func() // messages that came while it was partitioned
	stateLag               time.Duration
	namedAt                map[uint64]core.Time
}

func newWorld(t *testing.T, seed uint64, nodes, brokers int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), epoch: 1, head: 0, target: 1,
		namedAt: map[uint64]core.Time{}, fullSpeedLoads: max(1, (brokers+5)/6), now: time.Second,
	}
	for i := range nodes {
		w.nodes = append(w.nodes, &testNode{world: w, index: i})
		w.startNode(w.nodes[i])
	}
	for i := range brokers {
		w.brokers = append(w.brokers, &testBroker{
			id: fmt.Sprintf("i-%03d", i), zone: fmt.Sprintf("zone-%d", i%3), version: 1, registryVersion: 1,
			runDuration: time.Duration(w.random.IntN(900)) * time.Millisecond, loads: map[uint64]int{},
		})
	}
	w.elect(0)
	return w
}

func (w *world) startNode(n *testNode) {
	n.incarnation++
	n.machine = New(Options{Lease: testLease, ThawGrace: testThaw, VersionBound: testVersion})
	n.head, n.headLeaseStart, n.grantAsOf, n.frozen, n.deferredWhileFrozen = false, 0, 0, false, nil
	n.partitioned, n.missedWhilePartitioned = false, nil
	n.stateLag = time.Duration(w.random.IntN(200)) * time.Millisecond
	n.namedAt = map[uint64]core.Time{}
}

func (n *testNode) name() string { return fmt.Sprintf("node-%d", n.index) }

// later schedules an action.
func (w *world) later(delay time.Duration, do func()) {
	w.events = append(w.events, event{dueAt: w.now + delay, run: do})
}

// later schedules an action at a node: deferred while the node is frozen, dropped if its process
// has ended meanwhile.
func (n *testNode) later(delay time.Duration, do func()) {
	incarnation := n.incarnation
	n.world.later(delay, func() {
		if n.incarnation != incarnation {
			return
		}
		if n.frozen {
			n.deferredWhileFrozen = append(n.deferredWhileFrozen, do)
			return
		}
		do()
	})
}

// receive schedules the arrival of a message from another node: deferred while this one is
// partitioned.
func (n *testNode) receive(delay time.Duration, do func()) {
	n.later(delay, func() {
		if n.partitioned {
			n.missedWhilePartitioned = append(n.missedWhilePartitioned, do)
			return
		}
		do()
	})
}

func (w *world) delay() time.Duration {
	return time.Duration(1+w.random.IntN(15)) * time.Millisecond
}

// nameVersion names a new version of the weights.
func (w *world) nameVersion(version uint64) {
	w.target = version
	w.namedAt[version] = w.now
	for _, n := range w.nodes {
		n.receive(w.delay(), func() {
			n.namedAt[version] = w.now
			n.step()
		})
	}
}

// elect makes a node the head of the next epoch; the previous head learns of it only if it is
// reachable, after a while.
func (w *world) elect(index int) {
	w.epoch++
	w.head = index
	for _, n := range w.nodes {
		epoch := w.epoch
		n.receive(w.delay(), func() {
			if n.epoch < epoch {
				n.epoch = epoch
				n.head = n.index == index
				n.headLeaseStart = 0
				n.step()
			}
		})
	}
}

// completeBarriers renews the lease of the head, and confirms the control state to all nodes.
func (w *world) completeBarriers() {
	for _, n := range w.nodes {
		if n.frozen || n.partitioned {
			continue
		}
		started := w.now
		if n.head && n.epoch == w.epoch {
			n.later(w.delay(), func() {
				if n.head && n.epoch == w.epoch && !n.partitioned {
					n.headLeaseStart = started
				}
			})
		}
		n.later(n.stateLag, func() { n.grantAsOf = started })
	}
}

func (n *testNode) seenGrant() *nodepb.LeaseChange {
	var grant *nodepb.LeaseChange
	for _, change := range n.world.history {
		if change.committedAt <= n.grantAsOf || n.head && change.committedAt <= n.world.now-20*time.Millisecond {
			grant = change.grant
		}
	}
	return grant
}

func (n *testNode) situation() *Situation {
	s := &Situation{
		Head: n.head, Epoch: n.epoch, HeadLeaseStart: n.headLeaseStart, Grant: n.seenGrant(), GrantAsOf: n.grantAsOf, HolderID: n.name(),
	}
	for version, known := range n.namedAt {
		if len(s.Targets) == 0 {
			s.Targets = []Target{{Model: testModel, Version: version, KnownAt: known}}
		} else if s.Targets[0].Version < version {
			s.Targets[0] = Target{Model: testModel, Version: version, KnownAt: known}
		}
	}
	for _, b := range n.world.brokers {
		if b.gone {
			continue
		}
		s.Instances = append(s.Instances, &nodepb.Instance{
			Id: b.id, Service: testService, Address: b.id, Zone: b.zone, LoadingFencingToken: b.fence,
			Models: []*nodepb.ModelOnInstance{{Name: testModel, Version: b.registryVersion}},
		})
	}
	return s
}

func (n *testNode) step() {
	if !n.frozen {
		n.carryOut(n.machine.Step(n.world.now, n.situation()))
	}
}

func (n *testNode) carryOut(outputs []core.Output) {
	w := n.world
	for _, output := range outputs {
		switch output := output.(type) {
		case core.SendOrder:
			n.later(time.Duration(w.random.IntN(4))*time.Millisecond, func() { n.writeOrder(output) })
		case core.FetchReport:
			n.later(w.delay(), func() { n.answerReport(output) })
		case core.MarkLoading:
			n.later(w.delay(), func() {
				w.broker(output.InstanceID).fence = output.FencingToken
				for _, other := range w.nodes {
					other.receive(w.delay(), other.step)
				}
				n.later(w.delay(), func() { n.machine.MarkDone(w.now, output.InstanceID) })
			})
		case core.VersionLoaded:
			b := w.broker(output.InstanceID)
			b.registryVersion = max(b.registryVersion, output.Version)
		case core.SubmitCommand:
			n.submit(output.Command)
		}
	}
}

// submit commits a change of the grant while its node is the head; grants rise by fence.
func (n *testNode) submit(command *nodepb.Command) {
	w := n.world
	epoch := n.epoch
	n.later(w.delay(), func() {
		result := &nodepb.CommandResult{Code: nodepb.ResultCode_UNAVAILABLE}
		if epoch == w.epoch && !n.partitioned {
			result.Code = w.commit(command.GetLease())
		}
		if w.random.Float64() < w.answerLoss {
			result = &nodepb.CommandResult{Code: nodepb.ResultCode_UNAVAILABLE}
		}
		n.later(w.delay(), func() {
			n.machine.GrantDone(w.now, result)
			n.step()
		})
	})
}

func (w *world) commit(change *nodepb.LeaseChange) nodepb.ResultCode {
	if w.grant != nil {
		same := w.grant.FencingToken == change.FencingToken && w.grant.Holder == change.Holder
		if !same && (change.Released || change.FencingToken <= w.grant.FencingToken) {
			return nodepb.ResultCode_CONFLICT
		}
		for _, id := range w.grant.Claims {
			if same && !change.Released && !slices.Contains(change.Claims, id) {
				return nodepb.ResultCode_CONFLICT
			}
		}
	}
	w.grant = change
	w.history = append(w.history, grantChange{committedAt: w.now, grant: change})
	return nodepb.ResultCode_TAKEN
}

func (w *world) broker(id string) *testBroker {
	for _, b := range w.brokers {
		if b.id == id {
			return b
		}
	}
	w.t.Fatalf("no broker %s", id)
	return nil
}

// writeOrder is the shell: the lease is checked once more, then the order is sent to the broker.
func (n *testNode) writeOrder(order core.SendOrder) {
	w := n.world
	if w.now >= order.ValidUntil {
		n.endOrder(order.Token, 0, fmt.Errorf("%w: too late", ErrNotSent), 0)
		return
	}
	if w.random.Float64() < w.orderLoss {
		n.endOrder(order.Token, 0, errors.New("timeout"), time.Second)
		return
	}
	w.later(w.delay(), func() {
		status := w.takeOrder(order)
		if w.random.Float64() < w.answerLoss {
			n.endOrder(order.Token, 0, errors.New("timeout"), time.Second)
			return
		}
		n.endOrder(order.Token, status, nil, w.delay())
	})
}

func (n *testNode) endOrder(token uint64, status int, err error, delay time.Duration) {
	n.later(delay, func() {
		n.carryOut(n.machine.OrderDone(n.world.now, token, status, err))
		n.step()
	})
}

func (n *testNode) answerReport(ask core.FetchReport) {
	w := n.world
	b := w.broker(ask.InstanceID)
	if b.gone || w.random.Float64() < w.answerLoss {
		n.endReport(ask.Token, nil, errors.New("timeout"), time.Second)
		return
	}
	report := b.recentReports[0]
	n.endReport(ask.Token, &report, nil, w.delay())
}

func (n *testNode) endReport(token uint64, report *Report, err error, delay time.Duration) {
	n.later(delay, func() {
		n.carryOut(n.machine.ReportDone(n.world.now, token, report, err))
		n.step()
	})
}

// run advances the world for a time, or until done reports true.
func (w *world) run(length time.Duration, done func() bool) {
	end := w.now + length
	for w.now < end && !done() {
		w.now += tick
		if w.now%(200*time.Millisecond) == 0 {
			w.completeBarriers()
		}
		w.advanceLoads()
		w.deliver()
		for _, n := range w.nodes {
			if !n.frozen && n.machine.Deadline() <= w.now {
				n.step()
			}
		}
	}
}

func (w *world) deliver() {
	for {
		next := -1
		for i, e := range w.events {
			if e.dueAt <= w.now && (next < 0 || e.dueAt < w.events[next].dueAt) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		do := w.events[next].run
		w.events = slices.Delete(w.events, next, next+1)
		do()
	}
}

func (w *world) thaw(n *testNode) {
	n.frozen = false
	deferred := n.deferredWhileFrozen
	n.deferredWhileFrozen = nil
	for _, do := range deferred {
		do()
	}
	n.step()
}

func (w *world) heal(n *testNode) {
	n.partitioned = false
	missed := n.missedWhilePartitioned
	n.missedWhilePartitioned = nil
	for _, do := range missed {
		do()
	}
	n.step()
}

// restart starts a node anew: it knows nothing but the control state.
func (w *world) restart(n *testNode) {
	w.startNode(n)
	for version := range w.namedAt {
		n.namedAt[version] = w.now
	}
	n.epoch = w.epoch
	n.head = w.head == n.index
	n.step()
}

// loadedEverywhere reports whether all brokers have the newest version and serve.
func (w *world) loadedEverywhere() bool {
	for _, b := range w.brokers {
		if !b.gone && (b.version < w.target || b.registryVersion < w.target || b.fence != 0) {
			return false
		}
	}
	return true
}
