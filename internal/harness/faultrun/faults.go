package faultrun

import (
	"slices"
	"time"

	"kestrelspread/internal/node/control"
	"kestrelspread/internal/node/core"
)

// controlBounds are the time bounds that a node is configured with, as far as a data plane needs them.
func controlBounds(sim *simulation) control.Bounds {
	return control.Bounds{Contact: contactTimeout, GlobalRevocation: sim.plan.GlobalRevocation, Revoke: revokeTimeout}
}

// coreMachine selects a present core machine by index, modulo their number.
func (sim *simulation) coreMachine(index int) *machine {
	candidates := sim.coreMachines()
	return candidates[index%len(candidates)]
}

// proxies are the machines that don't count for a quorum.
func (sim *simulation) proxies() []*machine {
	return slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return m.isCore })
}

// otherMachines are all machines of the fleet without the excluded ones.
func (sim *simulation) otherMachines(excluded ...*machine) []*machine {
	return slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return slices.Contains(excluded, m) || m.removed })
}

// inject starts a fault. The fault schedules its own end.
func (sim *simulation) inject(fault Fault) {
	sim.logf("inject fault {At:%v Kind:%v A:%d B:%d For:%v X:%d}", fault.InjectAt, fault.Kind, fault.TargetA, fault.TargetB, fault.Duration, fault.Variant)
	switch fault.Kind {
	case ProcessKill:
		sim.restart(sim.anyMachine(fault.TargetA), false, fault.Duration)
	case PowerLoss:
		sim.restart(sim.anyMachine(fault.TargetA), true, fault.Duration)
	case MassRestart:
		sim.massRestart(fault)
	case ProcessFreeze:
		sim.anyMachine(fault.TargetA).freeze(fault.Duration)
	case CoreMachineIsolated:
		sim.isolateCoreMachine(fault)
	case CoreHalvesPartitioned:
		sim.partitionCore(fault)
	case CorePairPartitioned:
		a, b := sim.coreMachine(fault.TargetA), sim.coreMachine(fault.TargetB)
		sim.network.partition([]*machine{a}, []*machine{b}, fault.Variant%2 == 0, fault.Duration)
	case ProxyIsolated:
		proxies := sim.proxies()
		sim.network.partition([]*machine{proxies[fault.TargetA%len(proxies)]}, sim.coreMachines(), false, fault.Duration)
	case RestartDuringPartition:
		sim.restartDuringPartition(fault)
	case KillAfterHeal:
		sim.killAfterHeal(fault)
	case DiskLossWithLaggingReplica:
		sim.loseDiskWithLaggingReplica(fault)
	case DiskFull, DiskFailing, DiskHanging, DiskSlow:
		sim.injectDiskFault(fault)
	case DiskLoss:
		sim.loseDisk(sim.coreMachine(fault.TargetA), fault.Variant%2 == 0, fault.Duration)
	case FaultAfterAck:
		sim.faultAfterAck(fault)
	case MachineReplacement:
		sim.replaceMachine(fault)
	case GracefulStop:
		sim.stopGracefully(sim.anyMachine(fault.TargetA), fault.Duration)
	case NetworkNoise:
		sim.addNetworkNoise(fault)
	case ResponseLoss:
		sim.checks.answerLossRate = 0.7
		sim.after(fault.Duration, func() { sim.checks.answerLossRate, sim.checks.answerLossEndedAt = 0, sim.now })
	case SeedsChange:
		sim.changeSeeds(fault)
	case BrokerDrain:
		sim.drainBroker(fault)
	case WeightsUpdate:
		sim.updateWeights(sim.checks.ackedWeights+1, 0)
	case OperatorBurst:
		sim.burstOperators(fault.Duration)
	case TotalDiskLoss:
		for _, m := range sim.otherMachines() {
			sim.eraseAndRestart(m)
		}
	}
}

// anyMachine selects one of all machines for a third of the indices, and a core machine for the others.
func (sim *simulation) anyMachine(index int) *machine {
	if index%3 == 0 {
		return sim.machines[index/3%len(sim.machines)]
	}
	return sim.coreMachine(index / 3)
}

// restart ends the process, and starts it again after the downtime.
func (sim *simulation) restart(m *machine, powerLoss bool, downtime time.Duration) {
	m.kill(powerLoss)
	sim.after(downtime, m.start)
}

// massRestart restarts many machines at once; they are back within a few seconds. Variant selects processes or machines, the core or all.
func (sim *simulation) massRestart(fault Fault) {
	machines := sim.coreMachines()
	if fault.Variant%3 == 2 {
		machines = sim.otherMachines()
	}
	for i, m := range machines {
		if fault.Variant%5 == 0 && i%3 == fault.TargetA%3 {
			continue
		}
		sim.restart(m, fault.Variant%2 == 0, fault.Duration/4+time.Duration(sim.random.Int64N(int64(time.Second))))
	}
}

// replaceMachine removes a core machine for good and adds an empty one with another address, before or after the removal.
func (sim *simulation) replaceMachine(fault Fault) {
	if !sim.isComplete() || sim.lostDisks > 0 || sim.plan.Tolerance == 0 {
		return
	}
	old := sim.coreMachine(fault.TargetA)
	sim.reserveDiskLoss()
	remove := func() {
		old.kill(false)
		old.removed = true
		sim.health.recordCoreFault()
	}
	add := func() {
		successor := sim.addMachine(old.name+"'", old.zone, true)
		successor.start()
	}
	if fault.Variant%2 == 0 {
		old.beingReplaced = true
		add()
		sim.after(time.Second, func() {
			old.recordDisturbance()
			old.step(func(now core.Time) { old.execute(old.node.HandOver(now)) })
			sim.after(time.Second, remove)
		})
		return
	}
	remove()
	sim.after(min(fault.Duration, 2*time.Second), add)
}

// stopGracefully hands over, leaves and ends the process, as on SIGTERM, and starts it again after the downtime.
func (sim *simulation) stopGracefully(m *machine, downtime time.Duration) {
	if !m.isUp() {
		return
	}
	m.recordFault()
	m.recordDisturbance()
	m.step(func(now core.Time) { m.execute(m.node.HandOver(now)) })
	incarnation := m.incarnation
	sim.after(1200*time.Millisecond, func() {
		if m.incarnation != incarnation || !m.running {
			return
		}
		if m.isUp() {
			m.step(func(now core.Time) { m.execute(m.node.Leave(now)) })
		}
		sim.after(50*time.Millisecond, func() {
			if m.incarnation == incarnation {
				sim.restart(m, false, min(downtime, 2*time.Second))
			}
		})
	})
}

// changeSeeds names other seeds in the settings; a machine may restart with these.
func (sim *simulation) changeSeeds(fault Fault) {
	if sim.now < startWindow {
		return // all machines bootstrap with the same seeds
	}
	machines := sim.otherMachines()
	sim.seeds = nil
	for i := range 3 {
		sim.seeds = append(sim.seeds, machines[(fault.TargetA+i*(1+fault.TargetB%2))%len(machines)].address)
	}
	for _, m := range sim.runningMachines() {
		if m.isUp() {
			m.node.SetSeeds(sim.seeds)
		}
	}
	if fault.Variant%2 == 0 {
		sim.restart(sim.anyMachine(fault.TargetB), false, 300*time.Millisecond)
	}
}
