package scale

import (
	"cmp"
	"slices"
	"time"

	"kestrelspread/internal/node/chain"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

// Role is a part that a node plays. A node may have several, and its figures count under each.
type Role string

// The roles.
const (
	RoleNode       Role = "node"          // every node
	RoleProxy      Role = "proxy"         // a node without a disk
	RoleHead       Role = "core head"     // which holds the duty as well
	RoleMiddle     Role = "core middle"   //
	RoleTail       Role = "core tail"     //
	RoleBrokerHome Role = "broker home"   // of some service in its zone
	RoleIndexHome  Role = "index home"    // of some service in its zone
	RoleConfigHome Role = "config parent" // in its zone's tree: others poll it
	RoleNoHome     Role = "proxy, plain"  // a proxy that is no home
)

// Roles lists them in the order in which they are shown.
var Roles = []Role{RoleNode, RoleProxy, RoleNoHome, RoleConfigHome, RoleBrokerHome, RoleIndexHome, RoleHead, RoleMiddle, RoleTail}

// KindRate is what the nodes of a role send and take of one kind of message, a node a second.
type KindRate struct {
	Kind          string  `json:"kind"`
	Sent          float64 `json:"sent"`
	Received      float64 `json:"received"`
	SentBytes     float64 `json:"sentBytes"`
	ReceivedBytes float64 `json:"receivedBytes"`
	CPUPercent    float64 `json:"cpuPercent"` // of a core
}

// RoleRate is what the nodes of a role take, a node a second, on the mean.
type RoleRate struct {
	Nodes         int        `json:"nodes"`
	Sent          float64    `json:"sent"`
	Received      float64    `json:"received"`
	SentBytes     float64    `json:"sentBytes"`
	ReceivedBytes float64    `json:"receivedBytes"`
	MostSentBytes float64    `json:"mostSentBytes"` // of the node that sends most
	CPUPercent    float64    `json:"cpuPercent"`    // of a core: cores and codec alone
	MostCPU       float64    `json:"mostCpuPercent"`
	Turns         float64    `json:"turns"` // inputs taken
	Kinds         []KindRate `json:"kinds"`
}

// kindStatePoll is the message by which a node asks for the control state.
var kindStatePoll = wireproto.KindOf(&nodepb.Envelope{Body: &nodepb.Envelope_StatePoll{}})

// kindInstanceUpdate is the message by which a home tells of brokers.
var kindInstanceUpdate = wireproto.KindOf(&nodepb.Envelope{Body: &nodepb.Envelope_InstanceUpdate{}})

// Names of the kinds that are no messages between nodes.
const (
	kindTimers = "(timers)"
	kindCalls  = "(heartbeats of brokers)"
	kindEvents = "(events of kept parts)"
)

// reading is what all nodes have counted up to a moment.
type reading struct {
	at     time.Duration
	meters map[*node]meter
}

func (f *Fleet) read() reading {
	r := reading{at: f.clock.now, meters: make(map[*node]meter, len(f.nodes))}
	for _, n := range f.nodes {
		r.meters[n] = *n.meter
	}
	return r
}

// since gives the rates by role since an earlier reading.
func (f *Fleet) since(earlier reading) map[Role]RoleRate {
	span := (f.clock.now - earlier.at).Seconds()
	rates := map[Role]RoleRate{}
	for _, role := range Roles {
		var nodes []meter
		for _, n := range f.running() {
			if counted := n.meter.minus(earlier.meters[n]); n.plays(role, &counted) {
				nodes = append(nodes, counted)
			}
		}
		if len(nodes) > 0 {
			rates[role] = rateOf(nodes, span)
		}
	}
	return rates
}

// plays reports whether a node that has counted so much in a span had a role in it.
func (n *node) plays(role Role, counted *meter) bool {
	switch role {
	case RoleNode:
		return true
	case RoleProxy:
		return !n.self.CountsForQuorum
	case RoleHead:
		return n.isHead()
	case RoleMiddle:
		return n.role() == chain.Middle
	case RoleTail:
		return n.role() == chain.Tail
	case RoleBrokerHome:
		return counted.calls.received > 0
	case RoleIndexHome:
		return n.home.Deadline() != never
	case RoleConfigHome:
		return !n.self.CountsForQuorum && counted.kinds[kindStatePoll].received > 0
	case RoleNoHome:
		return !n.self.CountsForQuorum && !n.plays(RoleBrokerHome, counted) && !n.plays(RoleIndexHome, counted) &&
			!n.plays(RoleConfigHome, counted)
	default:
		return false
	}
}

func rateOf(nodes []meter, span float64) RoleRate {
	var sum meter
	rate := RoleRate{Nodes: len(nodes)}
	for i := range nodes {
		m := &nodes[i]
		for kind := range m.kinds {
			sum.kinds[kind] = sum.kinds[kind].plus(m.kinds[kind])
		}
		sum.ticks += m.ticks
		sum.calls = sum.calls.plus(m.calls)
		sum.events = sum.events.plus(m.events)
		sum.turns += m.turns
		rate.MostSentBytes = max(rate.MostSentBytes, float64(m.total().sentBytes)/span)
		rate.MostCPU = max(rate.MostCPU, 100*m.spent().Seconds()/span)
	}
	share := 1 / (span * float64(len(nodes)))
	total := sum.total()
	rate.Sent, rate.Received = float64(total.sent)*share, float64(total.received)*share
	rate.SentBytes, rate.ReceivedBytes = float64(total.sentBytes)*share, float64(total.receivedBytes)*share
	rate.CPUPercent = 100 * sum.spent().Seconds() * share
	rate.Turns = float64(sum.turns) * share
	for kind, counted := range sum.kinds {
		if counted != (traffic{}) {
			rate.Kinds = append(rate.Kinds, kindRate(wireproto.Kind(kind).String(), counted, share))
		}
	}
	rate.Kinds = append(rate.Kinds, kindRate(kindTimers, traffic{spent: sum.ticks}, share),
		kindRate(kindCalls, sum.calls, share), kindRate(kindEvents, sum.events, share))
	slices.SortStableFunc(rate.Kinds, func(a, b KindRate) int { return cmp.Compare(b.SentBytes, a.SentBytes) })
	return rate
}

func kindRate(name string, counted traffic, share float64) KindRate {
	return KindRate{
		Kind: name, Sent: float64(counted.sent) * share, Received: float64(counted.received) * share,
		SentBytes: float64(counted.sentBytes) * share, ReceivedBytes: float64(counted.receivedBytes) * share,
		CPUPercent: 100 * counted.spent.Seconds() * share,
	}
}

// Kind finds the rate of a kind of message; it is zero where none was sent.
func (r RoleRate) Kind(name string) KindRate {
	for _, kind := range r.Kinds {
		if kind.Kind == name {
			return kind
		}
	}
	return KindRate{Kind: name}
}
