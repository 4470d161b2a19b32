package faultrun

import (
	"time"
)

// isolateCoreMachine partitions a core machine from the core, from other zones as well, or from all.
func (sim *simulation) isolateCoreMachine(fault Fault) {
	m := sim.coreMachine(fault.TargetA)
	var unreachable []*machine
	for _, other := range sim.otherMachines(m) {
		sameZoneProxy := other.zone == m.zone && !other.isCore
		if other.isCore || fault.Variant%3 == 1 && !sameZoneProxy || fault.Variant%3 == 2 {
			unreachable = append(unreachable, other)
		}
	}
	sim.network.partition([]*machine{m}, unreachable, fault.Variant%4 == 0, fault.Duration)
	if fault.Variant%5 == 0 {
		sim.drainBrokerVia(m, false)
	}
}

// halves splits the core in two, by the target of the fault.
func (sim *simulation) halves(fault Fault) (a, b []*machine) {
	for i, m := range sim.coreMachines() {
		if (i+fault.TargetA)%2 == 0 && 2*len(a) < len(sim.coreMachines()) {
			a = append(a, m)
		} else {
			b = append(b, m)
		}
	}
	return a, b
}

// partitionCore partitions the core into halves; by Variant the proxies reach both, or are split with it.
func (sim *simulation) partitionCore(fault Fault) {
	a, b := sim.halves(fault)
	if fault.Variant%4 == 0 { // no proxy reaches both halves
		for i, m := range sim.proxies() {
			if i%2 == 0 {
				a = append(a, m)
			} else {
				b = append(b, m)
			}
		}
	}
	duration := fault.Duration
	if fault.Variant%3 == 0 {
		duration += 5 * time.Second
	}
	sim.network.partition(a, b, fault.Variant%7 == 0, duration)
}

// restartDuringPartition partitions the core, and restarts first the machines of one half, then those of the other.
func (sim *simulation) restartDuringPartition(fault Fault) {
	a, b := sim.halves(fault)
	sim.network.partition(a, b, false, fault.Duration)
	for _, m := range a {
		sim.after(fault.Duration/4, func() { sim.restart(m, false, 300*time.Millisecond) })
	}
	for _, m := range b {
		sim.after(fault.Duration/2, func() { sim.restart(m, fault.Variant%2 == 0, 400*time.Millisecond) })
	}
}

// killAfterHeal isolates a machine while changes are committed, and restarts all others just after the partition has healed.
func (sim *simulation) killAfterHeal(fault Fault) {
	m := sim.coreMachine(fault.TargetA)
	unreachable := sim.coreMachines()
	if fault.Variant%2 == 0 {
		unreachable = sim.otherMachines()
	}
	sim.network.partition([]*machine{m}, unreachable, false, fault.Duration)
	sim.after(fault.Duration+time.Duration(fault.Variant)*10*time.Millisecond, func() {
		for _, other := range sim.coreMachines() {
			if other != m {
				sim.restart(other, fault.Variant%3 == 0, 700*time.Millisecond)
			}
		}
	})
}

// addNetworkNoise has messages lost, duplicated and delayed.
func (sim *simulation) addNetworkNoise(fault Fault) {
	n := &sim.network
	n.lossRate = 0.2 * float64(fault.TargetA) / 1000
	n.duplicateRate = 0.2 * float64(fault.TargetB) / 1000
	n.jitter = fault.Duration / 30
	n.stragglerRate = 0.0005 * float64(fault.Variant)
	sim.health.recordCoreFault()
	for _, m := range sim.machines {
		m.recordFault()
	}
	sim.after(fault.Duration, sim.endNetworkNoise)
}

// endNetworkNoise makes the network reliable again.
func (sim *simulation) endNetworkNoise() {
	n := &sim.network
	n.lossRate, n.duplicateRate, n.jitter, n.stragglerRate = 0, 0, 0, 0
	n.noiseEndedAt = sim.now
	sim.health.recordCoreFault()
	for _, m := range sim.machines {
		m.recordFault()
	}
}
