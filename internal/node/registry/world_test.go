package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/coretest"
	"kestrelspread/internal/node/nodepb"
)

// world is a fleet of nodes with a registry each, on a virtual network.
type world struct {
	t       *testing.T
	network *coretest.Network
	nodes   []*worldNode
	zones   []string
	started int
	request uint64
}

type worldNode struct {
	*coretest.Node
	world    *world
	registry *Registry
	member   *nodepb.Member
	answers  map[uint64]answered
	marks    []core.LoadingConfirmed
	tables   int // how often the table changed

	lastTrouble time.Duration
	leaving     map[uint64]string // calls of brokers that leave, by request
}

type answered struct {
	core.RegistryReply
	at core.Time
}

const testHeartbeat = 1200 * time.Millisecond

func newWorld(t *testing.T, seed uint64, nodes int, zones ...string) *world {
	t.Helper()
	w := &world{t: t, network: coretest.NewNetwork(seed), zones: zones}
	for range nodes {
		w.start()
	}
	w.announce()
	return w
}

// start starts a node that is not yet known to the others.
func (w *world) start() *worldNode {
	number := w.started
	w.started++
	zone := w.zones[number%len(w.zones)]
	member := &nodepb.Member{
		NodeId: fmt.Sprintf("node-%d", number), Address: fmt.Sprintf("10.0.0.%d:7000", number),
		ControlAddress: fmt.Sprintf("10.0.0.%d:8381", number), Zone: zone, ServesFront: true,
	}
	registry := New(0, Options{
		SelfID: member.NodeId, SelfAddress: member.Address, ControlAddress: member.ControlAddress, Zone: zone,
		Heartbeat: testHeartbeat,
	}, rand.New(rand.NewPCG(w.network.Random.Uint64(), 0)))
	node := &worldNode{registry: registry, member: member, answers: map[uint64]answered{}, leaving: map[uint64]string{}}
	node.world = w
	node.lastTrouble = -time.Hour
	node.Node = w.network.Add(member.NodeId, member.Address, registry, node.output)
	w.nodes = append(w.nodes, node)
	return node
}

func (n *worldNode) output(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.RegistryReply:
		n.answers[output.Request] = answered{output, now}
		if id, leaving := n.leaving[output.Request]; leaving && output.Accepted && n.world.inTouch(n) {
			n.world.checkDrains(id)
		}
	case core.LoadingConfirmed:
		n.marks = append(n.marks, output)
	case core.TableChanged:
		n.tables++
	}
}

// members lists the nodes that membership would list: those not killed.
func (w *world) members(without ...*worldNode) []*nodepb.Member {
	var members []*nodepb.Member
	for _, node := range w.nodes {
		left := !node.Running()
		for _, out := range without {
			left = left || out == node
		}
		if !left {
			members = append(members, node.member)
		}
	}
	return members
}

// announce tells all running nodes the running nodes.
func (w *world) announce(without ...*worldNode) {
	members := w.members(without...)
	for _, node := range w.nodes {
		if node.Running() {
			node.setMembers(members)
		}
	}
}

func (n *worldNode) setMembers(members []*nodepb.Member) {
	n.Do(func(now core.Time) []core.Output { return n.registry.SetMembers(now, members) })
}

// broker is a model broker or service that sends heartbeats.
type broker struct {
	world    *world
	instance *nodepb.Instance
	target   *worldNode // where the next heartbeat goes
	stopped  bool
}

func (w *world) broker(id, service, zone string) *broker {
	return &broker{world: w, target: w.nodes[0], instance: &nodepb.Instance{
		Id: id, Service: service, Zone: zone, Address: "10.128.0." + id + ":8080", Slots: 8, Software: "v1",
		Models: []*nodepb.ModelOnInstance{{Name: "m", Version: 1}},
	}}
}

// beat sends one heartbeat and returns its number.
func (b *broker) beat(node *worldNode) uint64 {
	b.world.request++
	request := b.world.request
	b.instance.Sequence++
	heartbeat := clone(b.instance)
	if !node.Running() {
		return request
	}
	if b.instance.State != nodepb.InstanceState_READY {
		node.leaving[request] = b.instance.Id
	}
	node.Do(func(now core.Time) []core.Output { return node.registry.Heartbeat(now, request, heartbeat) })
	return request
}

// keepBeating sends heartbeats until the broker is stopped, as PROTOCOL.md describes: to the address named; after a
// second without an acknowledgement to another node.
func (b *broker) keepBeating() {
	if b.stopped {
		return
	}
	node := b.target
	request := b.beat(node)
	b.world.network.After(time.Second, func() {
		if b.follow(node, request) {
			b.world.network.After(testHeartbeat-time.Second, b.keepBeating)
			return
		}
		b.target = b.world.nodes[b.world.network.Random.IntN(len(b.world.nodes))]
		b.keepBeating()
	})
}

// follow goes on to the node that an acknowledgement names; it reports whether one came.
func (b *broker) follow(node *worldNode, request uint64) bool {
	answer, ok := node.answers[request]
	if !ok || !answer.Accepted || !node.Running() {
		return false
	}
	for _, candidate := range b.world.nodes {
		if candidate.member.ControlAddress == answer.HeartbeatURL {
			b.target = candidate
		}
	}
	return true
}

func (b *broker) deregister(node *worldNode) uint64 {
	b.world.request++
	request := b.world.request
	node.leaving[request] = b.instance.Id
	node.Do(func(now core.Time) []core.Output { return node.registry.Deregister(now, request, b.instance.Id) })
	return request
}

// knows reports whether all running nodes agree on a broker.
func (w *world) all(check func(node *worldNode) bool) bool {
	for _, node := range w.nodes {
		if node.Running() && !check(node) {
			return false
		}
	}
	return true
}

func (w *world) everyoneHas(id string, check func(*Instance) bool) bool {
	return w.all(func(node *worldNode) bool {
		instance := node.registry.Table().ByID[id]
		return instance != nil && check(instance)
	})
}

func (w *world) nobodyHas(id string) bool {
	return w.all(func(node *worldNode) bool { return node.registry.Table().ByID[id] == nil })
}

func (w *world) within(span time.Duration, what string, condition func() bool) {
	w.t.Helper()
	assert.Assert(w.t, w.network.RunUntil(span, condition), "not within %v: %s", span, what)
}

// home is the node that is the home of a topic by the members known to the first node.
func (w *world) home(service, zone string) *worldNode {
	for _, node := range w.nodes {
		if node.Running() {
			return w.byAddress(node.registry.rankHomes(topicKey{service, zone})[0].address)
		}
	}
	return nil
}

func (w *world) byAddress(address string) *worldNode {
	for _, node := range w.nodes {
		if node.Address == address {
			return node
		}
	}
	return nil
}

func (w *world) notHome(service, zone string) *worldNode {
	home := w.home(service, zone)
	for _, node := range w.nodes {
		if node != home && node.Running() {
			return node
		}
	}
	return nil
}

func ready(i *Instance) bool    { return i.State == Ready }
func draining(i *Instance) bool { return i.State == Draining }
func silent(i *Instance) bool   { return i.Silent }
func heard(i *Instance) bool    { return !i.Silent }
func loading(i *Instance) bool  { return i.Loading }
