package faultrun

import (
	"time"
)

// loseDiskWithLaggingReplica isolates a machine, so that it lags. As the partition heals, another one loses its disk, and the rest are
// down for a while.
func (sim *simulation) loseDiskWithLaggingReplica(fault Fault) {
	m := sim.coreMachine(fault.TargetA)
	sim.network.partition([]*machine{m}, sim.otherMachines(), false, fault.Duration)
	sim.after(fault.Duration, func() {
		victim := sim.coreMachine(fault.TargetA + 1)
		sim.loseDisk(victim, false, time.Second)
		for _, other := range sim.coreMachines() {
			if other != m && other != victim {
				sim.restart(other, fault.Variant%2 == 0, 2*time.Second)
			}
		}
	})
}

// injectDiskFault impairs the disk of a core machine for a while. Its end leaves a new disk alone, which the machine may have by then.
func (sim *simulation) injectDiskFault(fault Fault) {
	m := sim.coreMachine(fault.TargetA)
	end := m.beginFault()
	disk := m.disk
	switch fault.Kind {
	case DiskFull:
		disk.SetFull(true)
	case DiskFailing:
		disk.SetFailing(true)
	case DiskHanging:
		m.diskHangsUntil = max(m.diskHangsUntil, sim.now+fault.Duration)
	case DiskSlow:
		m.syncDuration = 25 * m.soundSyncDuration()
	}
	sim.after(fault.Duration, func() {
		end()
		if m.disk == disk {
			disk.SetFull(false)
			disk.SetFailing(false)
			m.syncDuration = m.soundSyncDuration()
		}
	})
}

// reserveDiskLoss reports whether a disk may be lost, and counts it as lost: no more than the tolerance until the core is complete
// again.
func (sim *simulation) reserveDiskLoss() bool {
	if sim.isComplete() {
		sim.lostDisks, sim.hasBeenComplete = 0, true
	}
	if !sim.hasBeenComplete || sim.lostDisks >= sim.plan.Tolerance {
		return false
	}
	sim.lostDisks++
	if len(sim.newestView().GetVoters()) <= 2*sim.plan.Tolerance {
		sim.toleranceExceeded = true
	}
	return true
}

// loseDisk erases the disk of a machine, if another loss is tolerated; the others may lose power at the same moment.
func (sim *simulation) loseDisk(m *machine, othersLosePower bool, downtime time.Duration) {
	if sim.newestView() == nil || !sim.reserveDiskLoss() {
		return
	}
	m.eraseDisk()
	sim.after(downtime, m.start)
	if !othersLosePower {
		return
	}
	for _, other := range sim.coreMachines() {
		if other != m {
			sim.restart(other, true, downtime/2)
		}
	}
}

// eraseAndRestart ends a process, erases its disk, and starts it again.
func (sim *simulation) eraseAndRestart(m *machine) {
	if m.isCore {
		m.eraseDisk()
	} else {
		m.kill(true)
	}
	sim.after(time.Second, m.start)
}

// faultAfterAck fails the machine that acknowledges the next order, within 4 ms.
func (sim *simulation) faultAfterAck(fault Fault) {
	sim.checks.onAck = func(m *machine) {
		sim.after(time.Duration(sim.random.Int64N(int64(4*time.Millisecond))), func() {
			target := m
			if !target.isCore {
				target = sim.coreMachine(fault.TargetA)
			}
			switch fault.Variant % 5 {
			case 0:
				sim.restart(target, false, fault.Duration)
			case 1:
				sim.restart(target, true, fault.Duration)
			case 2:
				sim.loseDisk(target, false, fault.Duration)
			case 3:
				for _, other := range sim.otherMachines() {
					sim.restart(other, true, fault.Duration/3)
				}
			case 4:
				sim.loseDisk(target, true, fault.Duration)
			}
		})
	}
}
