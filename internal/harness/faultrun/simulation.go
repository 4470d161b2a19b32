package faultrun

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kestrelspread/internal/node/chain"
)

// The bounds that the fleets are run with. Source: DEPLOY.md, "Settings of a process".
const (
	contactTimeout    = 3 * time.Second
	ackTimeout        = 4 * time.Second
	catchUpTimeout    = 4 * time.Second
	recoveryTimeout   = 12 * time.Second
	drainTimeout      = 2 * time.Second
	applyTimeout      = 2 * time.Second
	revokeTimeout     = 5 * time.Second
	leaseDuration     = 3 * time.Second
	thawGrace         = 300 * time.Millisecond
	versionTimeout    = 10 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	sampleInterval    = 100 * time.Millisecond
	startWindow       = 300 * time.Millisecond // all machines start within it
)

// simulationStream tells the random source of a run from that of its plan, which has the same seed.
const simulationStream = 0x6661756c74

// simulation is one run: a fleet with its operators and brokers, on a virtual clock. All random draws of a run come from its seeded
// source, in the order of the events; so a run follows from its plan.
type simulation struct {
	clock
	plan   *Plan
	random *rand.Rand

	machines          []*machine // the core first, then proxies, then replacements
	machinesByAddress map[string]*machine
	network           network
	operators         []*operator
	brokers           []*broker
	seeds             []string
	checks            *checks
	history           history
	health            health
	diskCount         int

	violation    string // the first promise that was broken; empty: none
	trace        []string
	traceEnabled bool
	lostDisks    int // since the core was last complete
	// hasBeenComplete is set once all core machines are in the chain. Before, the first view may have too few voters to tolerate
	// a lost disk.
	hasBeenComplete   bool
	toleranceExceeded bool // a disk was lost while too few voters could tolerate it
}

// newSimulation starts all machines within startWindow, with empty disks.
func newSimulation(plan *Plan, traceEnabled bool) *simulation {
	sim := &simulation{
		plan:              plan,
		random:            rand.New(rand.NewPCG(plan.Seed, simulationStream)),
		machinesByAddress: map[string]*machine{},
		traceEnabled:      traceEnabled,
	}
	sim.network = network{sim: sim, delay: plan.MessageDelay, partitions: map[link]int{}, linkChangedAt: map[link]time.Duration{}, noiseEndedAt: -maxStraggle}
	sim.checks = newChecks(sim)
	sim.health = health{sim: sim}
	for i := range plan.CoreSize {
		sim.addMachine(fmt.Sprintf("core-%d", i+1), zoneOf(i), true)
	}
	for i := range plan.ProxyCount {
		sim.addMachine(fmt.Sprintf("proxy-%d", i+1), zoneOf(i), false)
	}
	for i := range min(3, plan.CoreSize) {
		sim.seeds = append(sim.seeds, sim.machines[i].address)
	}
	for _, m := range sim.machines {
		m.bootstrap = true
		sim.after(time.Duration(sim.random.Int64N(int64(startWindow))), m.start)
	}
	sim.startBrokers()
	for i := range 2 {
		sim.startOperator(i)
	}
	sim.every(sampleInterval, func() bool { sim.checks.sample(); return true })
	return sim
}

var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// zoneOf distributes machines and brokers over the zones.
func zoneOf(i int) string { return zoneNames[i%len(zoneNames)] }

// addMachine adds a machine to the fleet, with an empty disk if it is a core machine.
func (sim *simulation) addMachine(name, zone string, isCore bool) *machine {
	m := &machine{sim: sim, name: name, address: name + ":1", zone: zone, isCore: isCore}
	m.diskModel = sim.plan.disk(len(sim.machines))
	if isCore {
		m.newDisk()
	}
	sim.machines = append(sim.machines, m)
	sim.machinesByAddress[m.address] = m
	return m
}

// coreMachines are the machines that count for a quorum and have not been replaced.
func (sim *simulation) coreMachines() []*machine {
	var core []*machine
	for _, m := range sim.machines {
		if m.isCore && !m.removed {
			core = append(core, m)
		}
	}
	return core
}

// runningMachines are the machines whose process runs, frozen or not.
func (sim *simulation) runningMachines() []*machine {
	return slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return !m.running })
}

// isComplete reports whether every core machine runs, is in the chain, and nothing else is in the chain or votes.
func (sim *simulation) isComplete() bool {
	core := sim.coreMachines()
	epoch := uint64(0)
	for i, m := range core {
		if !m.running || m.beingReplaced || sim.now < m.frozenUntil {
			return false
		}
		status, ok := m.node.StoreStatus()
		if !ok || status.Role == chain.OutsideChain || i > 0 && status.Epoch != epoch {
			return false
		}
		epoch = status.Epoch
		if len(status.View.Chain) != len(core) || len(status.View.Voters) != len(core) {
			return false
		}
	}
	return epoch > 0
}

// fail records a violation of what is promised. The run ends with the first.
func (sim *simulation) fail(format string, arguments ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("%v: ", sim.now.Round(time.Millisecond)) + fmt.Sprintf(format, arguments...)
		sim.logf("VIOLATION %s", sim.violation)
		sim.logf("%s", sim.describeCore())
	}
}

// logf appends a line to the trace, if the run is traced.
func (sim *simulation) logf(format string, arguments ...any) {
	if sim.traceEnabled {
		sim.trace = append(sim.trace, fmt.Sprintf("%10.3f ", sim.now.Seconds())+fmt.Sprintf(format, arguments...))
	}
}

// holds reports whether no violation was found so far.
func (sim *simulation) holds() bool { return sim.violation == "" }
