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

// cluster is a fleet of nodes with a registry each, on a simulated network.
type cluster struct {
	t       *testing.T
	network *coretest.Network
	nodes   []*clusterNode
	zones   []string
	started int
	request uint64
	voters  []string // addresses of the first three nodes
	disks   bool     // the voters have disks
}

type clusterNode struct {
	*coretest.Node
	cluster      *cluster
	registry     *Registry
	member       *nodepb.Member
	answers      map[uint64]timedAnswer
	marks        []core.LoadingConfirmed
	tableChanges int // how often the table changed

	lastFaultAt time.Duration
	leaving     map[uint64]string // calls of brokers that leave, by request
	disk        *leavingDisk      // of a voter; nil: it has none
}

type timedAnswer struct {
	core.RegistryReply
	at core.Time
}

const testHeartbeat = 1200 * time.Millisecond

func newCluster(t *testing.T, seed uint64, nodes int, zones ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, network: coretest.NewNetwork(seed), zones: zones, disks: nodes >= testVoters}
	for range nodes {
		c.start()
	}
	for _, node := range c.nodes {
		node.registry.SetVoters(c.voters)
	}
	c.publishMembers()
	return c
}

// testVoters is how many nodes of a cluster vote and have a disk, the first ones.
const testVoters = 3

// start adds a node that the others do not know yet.
func (c *cluster) start() *clusterNode {
	number := c.started
	c.started++
	node := c.startAt(number)
	if number < testVoters {
		if c.disks {
			node.disk = newLeavingDisk()
		}
		c.voters = append(c.voters, node.Address)
	}
	node.registry.SetVoters(c.voters)
	return node
}

// startAt adds a process at the address of that number.
func (c *cluster) startAt(number int) *clusterNode {
	zone := c.zones[number%len(c.zones)]
	member := &nodepb.Member{
		NodeId: fmt.Sprintf("node-%d", number), Address: fmt.Sprintf("10.0.0.%d:7000", number),
		ControlAddress: fmt.Sprintf("10.0.0.%d:8381", number), Zone: zone, ServesFront: true,
	}
	registry := New(0, Options{
		SelfID: member.NodeId, SelfAddress: member.Address, ControlAddress: member.ControlAddress, Zone: zone,
		HeartbeatInterval: testHeartbeat, PersistsLeaving: c.disks && number < testVoters,
	}, rand.New(rand.NewPCG(c.network.Random.Uint64(), 0)))
	node := &clusterNode{registry: registry, member: member, answers: map[uint64]timedAnswer{}, leaving: map[uint64]string{}}
	node.cluster = c
	node.lastFaultAt = -time.Hour
	node.Node = c.network.Add(member.NodeId, member.Address, registry, node.output)
	c.nodes = append(c.nodes, node)
	return node
}

func (n *clusterNode) output(now core.Time, output core.Output) {
	switch output := output.(type) {
	case core.RegistryReply:
		n.answers[output.Request] = timedAnswer{output, now}
		if id, leaving := n.leaving[output.Request]; leaving && output.Accepted && n.cluster.inTouch(n) {
			n.cluster.checkDrains(id)
		}
	case core.LoadingConfirmed:
		n.marks = append(n.marks, output)
	case core.TableChanged:
		n.tableChanges++
	case core.SaveLeaving:
		n.disk.save(n, output)
	}
}

// members lists the nodes that membership would list: those not killed.
func (c *cluster) members(without ...*clusterNode) []*nodepb.Member {
	var members []*nodepb.Member
	for _, node := range c.nodes {
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

// publishMembers sets the running nodes, without some, as the members of all running nodes.
func (c *cluster) publishMembers(without ...*clusterNode) {
	members := c.members(without...)
	for _, node := range c.nodes {
		if node.Running() {
			node.setMembers(members)
		}
	}
}

func (n *clusterNode) setMembers(members []*nodepb.Member) {
	n.Do(func(now core.Time) []core.Output { return n.registry.SetMembers(now, members) })
}

// broker is a model broker or service that sends heartbeats.
type broker struct {
	cluster  *cluster
	instance *nodepb.Instance
	target   *clusterNode // destination of the next heartbeat
	stopped  bool
}

func (c *cluster) broker(id, service, zone string) *broker {
	return &broker{cluster: c, target: c.nodes[0], instance: &nodepb.Instance{
		Id: id, Service: service, Zone: zone, Address: "10.128.0." + id + ":8080", Slots: 8, Software: "v1",
		Models: []*nodepb.ModelOnInstance{{Name: "m", Version: 1}},
	}}
}

// heartbeat sends one heartbeat and returns its number.
func (b *broker) heartbeat(node *clusterNode) uint64 {
	b.cluster.request++
	request := b.cluster.request
	b.instance.Sequence++
	heartbeat := deepCopy(b.instance)
	if !node.Running() {
		return request
	}
	if b.instance.State != nodepb.InstanceState_READY {
		node.leaving[request] = b.instance.Id
	}
	node.Do(func(now core.Time) []core.Output { return node.registry.Heartbeat(now, request, heartbeat) })
	return request
}

// sendHeartbeats sends heartbeats until the broker is stopped, as PROTOCOL.md describes: to the
// address named; after a second without an acknowledgement to another node.
func (b *broker) sendHeartbeats() {
	if b.stopped {
		return
	}
	node := b.target
	request := b.heartbeat(node)
	b.cluster.network.After(time.Second, func() {
		if b.followHome(node, request) {
			b.cluster.network.After(testHeartbeat-time.Second, b.sendHeartbeats)
			return
		}
		b.target = b.cluster.nodes[b.cluster.network.Random.IntN(len(b.cluster.nodes))]
		b.sendHeartbeats()
	})
}

// followHome makes the node that the acknowledgement names the next destination; it reports whether
// there was one.
func (b *broker) followHome(node *clusterNode, request uint64) bool {
	answer, ok := node.answers[request]
	if !ok || !answer.Accepted || !node.Running() {
		return false
	}
	for _, candidate := range b.cluster.nodes {
		if candidate.member.ControlAddress == answer.HeartbeatURL {
			b.target = candidate
		}
	}
	return true
}

func (b *broker) deregister(node *clusterNode) uint64 {
	b.cluster.request++
	request := b.cluster.request
	node.leaving[request] = b.instance.Id
	node.Do(func(now core.Time) []core.Output { return node.registry.Deregister(now, request, b.instance.Id) })
	return request
}

// all reports whether the check holds at all running nodes.
func (c *cluster) all(check func(node *clusterNode) bool) bool {
	for _, node := range c.nodes {
		if node.Running() && !check(node) {
			return false
		}
	}
	return true
}

func (c *cluster) everyoneHas(id string, check func(*Instance) bool) bool {
	return c.all(func(node *clusterNode) bool {
		instance := node.registry.Table().ByID[id]
		return instance != nil && check(instance)
	})
}

func (c *cluster) nobodyHas(id string) bool {
	return c.all(func(node *clusterNode) bool { return node.registry.Table().ByID[id] == nil })
}

func (c *cluster) within(span time.Duration, what string, condition func() bool) {
	c.t.Helper()
	assert.Assert(c.t, c.network.RunUntil(span, condition), "not within %v: %s", span, what)
}

// requireRefused requires that a node answers a call within a second, and does not accept it.
func (c *cluster) requireRefused(node *clusterNode, request uint64) {
	c.t.Helper()
	c.within(time.Second, "an answer", func() bool { return node.answers[request].at > 0 })
	assert.Assert(c.t, !node.answers[request].Accepted)
}

// home returns the home of a topic by the members known to the first running node.
func (c *cluster) home(service, zone string) *clusterNode {
	for _, node := range c.nodes {
		if node.Running() {
			return c.byAddress(node.registry.rankHomes(topicKey{service, zone})[0].address)
		}
	}
	return nil
}

func (c *cluster) byAddress(address string) *clusterNode {
	for _, node := range c.nodes {
		if node.Address == address {
			return node
		}
	}
	return nil
}

func (c *cluster) notHome(service, zone string) *clusterNode {
	home := c.home(service, zone)
	for _, node := range c.nodes {
		if node != home && node.Running() {
			return node
		}
	}
	return nil
}

func ready(i *Instance) bool        { return i.State == Ready }
func draining(i *Instance) bool     { return i.State == Draining }
func unresponsive(i *Instance) bool { return i.Unresponsive }
func responsive(i *Instance) bool   { return !i.Unresponsive }
func loading(i *Instance) bool      { return i.Loading }
