package faultrun

import (
	"math/rand/v2"
	"time"
)

// Plan is the input of a run: the fleet, its parameters, and the faults. It follows from a seed, and can be reduced. Its JSON, which is
// printed for a plan that violates something, keeps its keys.
type Plan struct {
	Seed             uint64        `json:"Seed"`
	CoreSize         int           `json:"Core"` // machines that count for a quorum
	ProxyCount       int           `json:"Proxies"`
	Tolerance        int           `json:"Tolerance"`
	GlobalRevocation bool          `json:"GlobalRevocation"`
	Fencing          bool          `json:"Fencing"`
	MessageDelay     time.Duration `json:"Delay"`    // mean transit time of a message
	SyncDuration     time.Duration `json:"Sync"`     // mean time of a write to a disk
	OperatorInterval time.Duration `json:"Pause"`    // mean time between two calls of the first operator
	MaxPadding       int           `json:"Padding"`  // bytes that a change may add to its size
	CallLossRate     float64       `json:"CallLoss"` // share of calls that are reset in transit
	FaultPhase       time.Duration `json:"Length"`   // faults start within it
	Faults           []Fault       `json:"Troubles"`
	// Disks differ between core machines: machine i has Disks[i modulo their number]. None: all have defaultDisk. Plans of seeds
	// below firstMixedSeed have none.
	Disks []DiskModel `json:"Disks,omitempty"`
}

// DiskModel is the disk of a core machine.
type DiskModel struct {
	Bytes    int64         // of its journal
	Slowness time.Duration // that a write takes beside Plan.SyncDuration, in the mean
}

// defaultDisk is the disk of all machines where a plan names none.
var defaultDisk = DiskModel{Bytes: 4 << 20}

// disk is the disk of the core machine that was added as the index-th.
func (p *Plan) disk(index int) DiskModel {
	if len(p.Disks) == 0 {
		return defaultDisk
	}
	return p.Disks[index%len(p.Disks)]
}

// Fault is one injected fault. TargetA and TargetB select machines, modulo the number of those that can have it.
type Fault struct {
	InjectAt time.Duration `json:"At"`
	Kind     FaultKind     `json:"Kind"`
	TargetA  int           `json:"A"`
	TargetB  int           `json:"B"`
	Duration time.Duration `json:"For"`
	Variant  int           `json:"X"` // meaning by kind
}

// FaultKind is a kind of fault. The kinds follow the fault list of the operators' bench, and their values are those of printed plans.
type FaultKind string

// The kinds of faults.
const (
	ProcessKill                FaultKind = "kill"         // a process
	PowerLoss                  FaultKind = "power_loss"   // of a machine
	MassRestart                FaultKind = "herd"         // many at once; Variant: kill, power, all machines
	ProcessFreeze              FaultKind = "freeze"       // a process is suspended
	CoreMachineIsolated        FaultKind = "cut_off"      // Variant: from the core, other zones too, all; both directions or one
	CoreHalvesPartitioned      FaultKind = "even_cut"     // Variant: proxies reach both halves, or are split as well
	CorePairPartitioned        FaultKind = "pair_cut"     // two machines; Variant: one direction
	ProxyIsolated              FaultKind = "proxy_cut"    // a proxy from the core
	RestartDuringPartition     FaultKind = "both_restart" // machines of one half are restarted, then those of the other
	KillAfterHeal              FaultKind = "relieve"      // after an isolated machine is back, the others are killed
	DiskLossWithLaggingReplica FaultKind = "behind"       // a machine misses changes, another loses its disk, the rest restart
	DiskFull                   FaultKind = "disk_full"
	DiskFailing                FaultKind = "disk_fails"
	DiskHanging                FaultKind = "disk_hangs"
	DiskSlow                   FaultKind = "disk_slow"
	DiskLoss                   FaultKind = "wipe"      // Variant: the others lose power at the same time
	FaultAfterAck              FaultKind = "after_ack" // Variant: kill, power, disk, power of all, disk and power of all
	MachineReplacement         FaultKind = "replace"   // by an empty one; Variant: added after the removal, or before
	GracefulStop               FaultKind = "stop"      // SIGTERM and a restart
	NetworkNoise               FaultKind = "noise"     // messages are lost, duplicated, late
	ResponseLoss               FaultKind = "answer_loss"
	SeedsChange                FaultKind = "seeds"   // the settings name others; Variant: a machine restarts
	BrokerDrain                FaultKind = "drain"   // Variant: it notifies a core machine first
	WeightsUpdate              FaultKind = "weights" // a new version is submitted
	OperatorBurst              FaultKind = "burst"   // operators call every few milliseconds
	// TotalDiskLoss exceeds every tolerance: all disks are lost at once. No seed has it; tests show with it that loss is detected.
	TotalDiskLoss FaultKind = "forget"
)

// weightedKinds are the kinds that plans draw from; those that stand twice come twice as often.
var weightedKinds = []FaultKind{
	ProcessKill, ProcessKill, PowerLoss, MassRestart, ProcessFreeze, ProcessFreeze,
	CoreMachineIsolated, CoreMachineIsolated, CoreHalvesPartitioned, CoreHalvesPartitioned, CorePairPartitioned, ProxyIsolated,
	RestartDuringPartition, KillAfterHeal, DiskLossWithLaggingReplica,
	DiskFull, DiskFailing, DiskHanging, DiskSlow, DiskLoss, DiskLoss,
	FaultAfterAck, FaultAfterAck, MachineReplacement, GracefulStop, NetworkNoise, ResponseLoss, SeedsChange, BrokerDrain, BrokerDrain,
	WeightsUpdate, OperatorBurst,
}

// maxFaultDuration is how long the last faults of a plan may last, and recoveryPhase the time without faults after them.
const (
	maxFaultDuration = 7 * time.Second
	recoveryPhase    = 16 * time.Second
)

// paddingLimits are the values of Plan.MaxPadding, in bytes; few runs have large ones, as they take long.
var paddingLimits = []int{10, 10, 10, 10, 500, 500, 500, 4000, 4000, 4000, 20_000, 180_000}

// firstFaultAt is after the first view has been agreed, as on the operators' bench.
const firstFaultAt = 2 * time.Second

// firstMixedSeed is from which seed on plans have nine core machines and different disks among them.
const firstMixedSeed = 100_000

// diversify gives a third of the plans nine core machines, and half of them different disks. The smallest one holds what the
// operators of a run may write: machines of different limits are not part of the plans.
func (p *Plan) diversify(random *rand.Rand) {
	const mebibyte = 1 << 20
	if random.IntN(3) == 0 {
		p.CoreSize, p.ProxyCount, p.Tolerance = 9, 3, 1+random.IntN(4)
	}
	if random.IntN(2) == 0 {
		return
	}
	for range p.CoreSize {
		p.Disks = append(p.Disks, DiskModel{
			Bytes:    []int64{4, 4, 6, 8, 16, 64}[random.IntN(6)] * mebibyte,
			Slowness: time.Duration(random.Int64N(int64(30 * time.Millisecond))),
		})
	}
}

// planStream tells the random source of a plan from that of its run, which has the same seed.
const planStream = 0x706c616e

// mixedStream tells apart the random source of what mixed plans have beside others.
const mixedStream = 0x6d69786564

// PlanOf draws the plan of a seed. The order of draws is fixed, as seeds are named in issues and tests.
func PlanOf(seed uint64) *Plan {
	random := rand.New(rand.NewPCG(seed, planStream))
	sizes := []Plan{
		{CoreSize: 3, ProxyCount: 3, Tolerance: 1}, {CoreSize: 4, ProxyCount: 2, Tolerance: 1}, {CoreSize: 4, ProxyCount: 3, Tolerance: 1},
		{CoreSize: 6, ProxyCount: 3, Tolerance: 2}, {CoreSize: 5, ProxyCount: 2, Tolerance: 2}, {CoreSize: 8, ProxyCount: 3, Tolerance: 2},
		{CoreSize: 3, ProxyCount: 2, Tolerance: 1}, {CoreSize: 2, ProxyCount: 2, Tolerance: 0},
	}
	plan := sizes[random.IntN(len(sizes))]
	plan.Seed = seed
	plan.GlobalRevocation = random.IntN(2) == 0
	plan.Fencing = random.IntN(2) == 0
	plan.MessageDelay = 300*time.Microsecond + time.Duration(random.Int64N(int64(5*time.Millisecond)))
	plan.SyncDuration = 500*time.Microsecond + time.Duration(random.Int64N(int64(8*time.Millisecond)))
	plan.OperatorInterval = 15*time.Millisecond + time.Duration(random.Int64N(int64(120*time.Millisecond)))
	plan.MaxPadding = paddingLimits[random.IntN(len(paddingLimits))]
	plan.CallLossRate = []float64{0, 0, 0.02, 0.1}[random.IntN(4)]
	plan.FaultPhase = 12*time.Second + time.Duration(random.Int64N(int64(20*time.Second)))
	if plan.MaxPadding > 100_000 {
		plan.OperatorInterval *= 4
	}
	if seed >= firstMixedSeed {
		plan.diversify(rand.New(rand.NewPCG(seed, mixedStream)))
	}
	meanGap := 300*time.Millisecond + time.Duration(random.Int64N(int64(3500*time.Millisecond)))
	if random.IntN(3) == 0 {
		plan.scheduleSequentialFaults(random)
		return &plan
	}
	for injectAt := firstFaultAt + time.Duration(random.Int64N(int64(2*time.Second))); injectAt < plan.FaultPhase; {
		plan.Faults = append(plan.Faults, Fault{
			InjectAt: injectAt, Kind: weightedKinds[random.IntN(len(weightedKinds))], TargetA: random.IntN(1000), TargetB: random.IntN(1000), Variant: random.IntN(60),
			Duration: 50*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultDuration-time.Second))),
		})
		injectAt += time.Duration(random.Int64N(int64(2 * meanGap)))
	}
	return &plan
}

// toleratedKinds are faults whose effects are bounded as long as they come one at a time.
var toleratedKinds = []FaultKind{
	ProcessKill, PowerLoss, ProcessFreeze, CoreMachineIsolated, CoreHalvesPartitioned, CorePairPartitioned, ProxyIsolated,
	DiskFull, DiskFailing, DiskHanging, DiskSlow, DiskLoss, FaultAfterAck, MachineReplacement, GracefulStop,
	ResponseLoss, SeedsChange, BrokerDrain, WeightsUpdate, OperatorBurst,
}

// scheduleSequentialFaults draws faults of which each starts after the one before has ended and been recovered from, so that the promises
// for machines in contact apply throughout.
func (p *Plan) scheduleSequentialFaults(random *rand.Rand) {
	p.FaultPhase = 60 * time.Second
	for injectAt := 4 * time.Second; injectAt < p.FaultPhase; {
		fault := Fault{
			InjectAt: injectAt, Kind: toleratedKinds[random.IntN(len(toleratedKinds))], TargetA: random.IntN(1000), TargetB: random.IntN(1000), Variant: random.IntN(60),
			Duration: 50*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
		}
		p.Faults = append(p.Faults, fault)
		injectAt += fault.Duration + catchUpTimeout + time.Duration(random.Int64N(int64(5*time.Second)))
	}
}
