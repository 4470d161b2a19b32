package processfaults

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kestrelspread/internal/harness/fleet"
)

// ErrPlan says that a plan can't be decoded, or names what the fleet doesn't have.
var ErrPlan = errors.New("processfaults: plan")

// Plan is the input of a run. Its JSON is printed for a run that violates something.
type Plan struct {
	Seed   uint64  `json:"seed"`
	Nodes  int     `json:"nodes,omitempty"` // 0: five
	Faults []Fault `json:"faults"`
}

// Fault is one injected fault. Node and Peer select endpoints, modulo the number of those that can have it.
type Fault struct {
	StartMs    int       `json:"start_ms"` // from the start of the fault phase
	DurationMs int       `json:"duration_ms"`
	Kind       FaultKind `json:"kind"`
	Node       int       `json:"node"`
	Peer       int       `json:"peer"`
}

// Start is when the fault begins, from the start of the fault phase.
func (f Fault) Start() time.Duration { return time.Duration(f.StartMs) * time.Millisecond }

// Duration is how long the fault lasts.
func (f Fault) Duration() time.Duration { return time.Duration(f.DurationMs) * time.Millisecond }

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s node %d peer %d at %v for %v", f.Kind, f.Node, f.Peer, f.Start(), f.Duration())
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. Those of links hold in both directions unless they say otherwise.
const (
	NodePartition      FaultKind = "cut"             // a node from all others and from all brokers
	PairPartition      FaultKind = "pair_cut"        // a node from one other
	OneWayPartition    FaultKind = "one_way"         // what a node sends to the others is lost; what they send arrives
	CorePartition      FaultKind = "halves"          // one core node from the other core nodes; proxies reach all
	BrokerPartition    FaultKind = "broker_cut"      // a node from one broker
	LinkDelay          FaultKind = "delay"           // of a node's links
	LinkLoss           FaultKind = "loss"            // half of what passes a node's links is retransmitted
	LinkReset          FaultKind = "reset"           // all connections of a node, in the middle of their calls
	SlowLink           FaultKind = "slow_link"       // a node's links pass few bytes
	ProcessFreeze      FaultKind = "freeze"          // SIGSTOP, then SIGCONT
	KillKeepDisk       FaultKind = "kill"            // SIGKILL, and a start on the same disk
	KillWipeDisk       FaultKind = "kill_wiped"      // SIGKILL, and a start on an empty disk
	KillFullDisk       FaultKind = "kill_full"       // SIGKILL, and a start on a disk that takes nothing; later on the same disk
	CoreKill           FaultKind = "kill_core"       // SIGKILL of all core nodes, and a start on their disks
	WeightsUpdate      FaultKind = "weights"         // a new version of the weights is named
	BrokerReplace      FaultKind = "broker_replaced" // a broker starts, another drains and leaves
	GracefulStop       FaultKind = "sigterm"         // SIGTERM, and a start once the process is gone
	RollingRestart     FaultKind = "rolling"         // SIGTERM to one node after another, with overlaps
	HangUpSeries       FaultKind = "sighups"         // several SIGHUPs to a node or to all
	DrainKillAll       FaultKind = "drain_kill_all"  // SIGKILL of all nodes just after a draining was acknowledged
	GoneKillAll        FaultKind = "gone_kill_all"   // the same after a deregistration without a draining
	ClientGroup        FaultKind = "client_crowd"    // clients that don't stay inside the limits, at a node's front
	StartedDrain       FaultKind = "started_drain"   // a broker drains at a node that has just been started, while its seeds are down
	StartedGone        FaultKind = "started_gone"    // the same with a deregistration
	FrozenIsolation    FaultKind = "frozen_isolated" // a tenant becomes isolated while a node is frozen and cut off that clients have connections to
	PartitionIsolation FaultKind = "cut_isolated"    // the same with a node that is cut from the others
	LastKey            FaultKind = "last_key"        // a tenant loses its last key, beside a disturbance of processes (see keyDisturbances)
	MovedKey           FaultKind = "moved_key"       // the key is given to another tenant
	AllTenants         FaultKind = "all_tenants"     // all tenants are removed by one update; later there is another one, then the first ones
	LastTenant         FaultKind = "last_tenant"     // the tenants are removed one after another
	EmptyTenants       FaultKind = "empty_tenants"   // a whole configuration has an empty list of tenants
	NoTenants          FaultKind = "no_tenants"      // a whole configuration has no list of tenants
)

// weightedKinds are the kinds that plans draw from; those that stand twice come twice as often.
var weightedKinds = []FaultKind{
	NodePartition, NodePartition, PairPartition, OneWayPartition, CorePartition, CorePartition, BrokerPartition, LinkDelay, LinkLoss, LinkReset, LinkReset, SlowLink,
	ProcessFreeze, ProcessFreeze, KillKeepDisk, KillKeepDisk, KillWipeDisk, KillFullDisk, CoreKill, WeightsUpdate, BrokerReplace,
}

const (
	// FaultPhase is within which faults start.
	FaultPhase       = 7 * time.Second
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	minFaultGap      = 300 * time.Millisecond
	maxFaultGap      = 2200 * time.Millisecond
	selectors        = 1000 // values of Fault.Node and Fault.Peer
)

// planStream tells the random source of a plan from that of its run, which has the same seed.
const planStream = 0x70726f63

// PlanOf draws the plan of a seed. The order of draws is fixed.
func PlanOf(seed uint64) *Plan {
	random := rand.New(rand.NewPCG(seed, planStream))
	plan := &Plan{Seed: seed}
	between := func(minimum, maximum time.Duration) int {
		return int((minimum + time.Duration(random.Int64N(int64(maximum-minimum)))).Milliseconds())
	}
	phaseMs := int(FaultPhase.Milliseconds())
	for startMs := 0; startMs < phaseMs; startMs += between(minFaultGap, maxFaultGap) {
		plan.Faults = append(plan.Faults, Fault{
			StartMs: startMs, DurationMs: between(minFaultDuration, maxFaultDuration), Kind: weightedKinds[random.IntN(len(weightedKinds))],
			Node: random.IntN(selectors), Peer: random.IntN(selectors),
		})
	}
	plan.addProcessFaults(random, between)
	plan.addClientGroups(random, between)
	plan.addAimedFaults(random, between)
	plan.addKeySeries(random, between)
	switch {
	case seed%largeEvery == largeEvery-1:
		plan.makeLarge()
	case seed%mediumEvery == 1:
		plan.Nodes = mediumNodes
	}
	return plan
}

var (
	leavingKinds = []FaultKind{DrainKillAll, GoneKillAll}
	signalKinds  = []FaultKind{GracefulStop, RollingRestart, HangUpSeries}
)

// signalFaults is how many faults of signalKinds each plan has.
const signalFaults = 2

// addProcessFaults adds what each plan has: a kill of all processes as a broker leaves, and signals. They overlap with one another
// and with the other faults.
func (p *Plan) addProcessFaults(random *rand.Rand, between func(minimum, maximum time.Duration) int) {
	add := func(kinds []FaultKind) {
		p.Faults = append(p.Faults, Fault{
			StartMs: between(0, FaultPhase), DurationMs: between(minFaultDuration, maxFaultDuration), Kind: kinds[random.IntN(len(kinds))],
			Node: random.IntN(selectors), Peer: random.IntN(selectors),
		})
	}
	add(leavingKinds)
	for range signalFaults {
		add(signalKinds)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.StartMs, b.StartMs) })
}

// clientGroups is how many groups of clients each plan has.
const clientGroups = 2

// addClientGroups adds clients that don't stay inside the limits, which overlap with all other faults.
func (p *Plan) addClientGroups(random *rand.Rand, between func(minimum, maximum time.Duration) int) {
	for range clientGroups {
		p.Faults = append(p.Faults, Fault{
			StartMs: between(0, FaultPhase), DurationMs: between(minFaultDuration, maxFaultDuration), Kind: ClientGroup,
			Node: random.IntN(selectors), Peer: random.IntN(selectors),
		})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.StartMs, b.StartMs) })
}

var (
	startedKinds   = []FaultKind{StartedDrain, StartedGone}
	isolationKinds = []FaultKind{FrozenIsolation, PartitionIsolation}
)

// addAimedFaults adds what needs a call at a certain moment at a certain node: a broker that leaves at a node as that starts, and a
// tenant that becomes isolated while a node can't hear of it.
func (p *Plan) addAimedFaults(random *rand.Rand, between func(minimum, maximum time.Duration) int) {
	for _, kinds := range [][]FaultKind{startedKinds, isolationKinds} {
		p.Faults = append(p.Faults, Fault{
			StartMs: between(0, FaultPhase), DurationMs: between(minFaultDuration, maxFaultDuration), Kind: kinds[random.IntN(len(kinds))],
			Node: random.IntN(selectors), Peer: random.IntN(selectors),
		})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.StartMs, b.StartMs) })
}

// keyKinds take the keys of tenants away. Seeds in a row draw all of them.
var keyKinds = []FaultKind{LastKey, MovedKey, AllTenants, EmptyTenants, LastTenant, NoTenants}

// Series of keyKinds begin late: while the list of tenants has none of the first keys clients are refused, and the other faults are judged
// by what becomes of their requests.
const (
	earliestKeySeries = FaultPhase - time.Second
	latestKeySeries   = FaultPhase + time.Second/2
)

// addKeySeries adds a fault that takes the keys of tenants away, beside a disturbance that its peer selects.
func (p *Plan) addKeySeries(random *rand.Rand, between func(minimum, maximum time.Duration) int) {
	p.Faults = append(p.Faults, Fault{
		StartMs: between(earliestKeySeries, latestKeySeries), DurationMs: between(minFaultDuration, maxFaultDuration),
		Kind: keyKinds[p.Seed%uint64(len(keyKinds))], Node: random.IntN(selectors), Peer: random.IntN(selectors),
	})
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.StartMs, b.StartMs) })
}

const (
	// largeEvery: one seed in so many plays a large fleet.
	largeEvery = 25
	// largeNodes is its number of processes: as many as eight cores bear beside brokers and clients.
	largeNodes = 96
)

const (
	// mediumEvery: one seed in so many plays as many processes as a small site has machines. What one of them knows alone takes seconds
	// to spread there.
	mediumEvery = 3
	mediumNodes = 11
	// maxRelayedNodes: a fleet of more has no relays, of which each two nodes need one.
	maxRelayedNodes = 12
)

// makeLarge makes the plan one of a large fleet, which has no relays, and so no faults of links.
func (p *Plan) makeLarge() {
	p.Nodes = largeNodes
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return f.Kind.ofLinks() })
}

// relayed reports whether there is a relay between each two nodes.
func (p *Plan) relayed() bool { return p.Nodes <= maxRelayedNodes }

// ofLinks reports whether a kind is a fault of links.
func (k FaultKind) ofLinks() bool {
	switch k {
	case NodePartition, PairPartition, OneWayPartition, CorePartition, BrokerPartition, LinkDelay, LinkLoss, LinkReset, SlowLink, PartitionIsolation:
		return true
	default:
		return false
	}
}

// Validate returns what is wrong with a plan that was read; the error is of type ErrPlan.
func (p *Plan) Validate() error {
	if p.Nodes < 0 || p.Nodes > fleet.MaxNodes {
		return fmt.Errorf("%w: %d nodes, %d at most", ErrPlan, p.Nodes, fleet.MaxNodes)
	}
	for i, fault := range p.Faults {
		if injectors[fault.Kind] == nil {
			return fmt.Errorf("%w: faults[%d]: unknown kind %q", ErrPlan, i, fault.Kind)
		}
		if fault.Kind.ofLinks() && !p.relayed() {
			return fmt.Errorf("%w: faults[%d]: a fleet of over %d nodes has no relays, which %q needs", ErrPlan, i, maxRelayedNodes, fault.Kind)
		}
		if fault.StartMs < 0 || fault.DurationMs < 0 || fault.Node < 0 || fault.Peer < 0 {
			return fmt.Errorf("%w: faults[%d]: a negative value", ErrPlan, i)
		}
		if fault.Start()+fault.Duration() > maxPlanLength {
			return fmt.Errorf("%w: faults[%d]: ends after %v", ErrPlan, i, maxPlanLength)
		}
	}
	return nil
}

// maxPlanLength bounds when the last fault of a plan ends.
const maxPlanLength = 10 * time.Minute
