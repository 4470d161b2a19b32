package faultrun

import (
	"time"

	"kestrelspread/internal/node/nodepb"
)

// health determines which machines are in contact, by the definitions of RULES.md: promises with a time bound apply to these alone.
type health struct {
	sim             *simulation
	coreFaultAt     time.Duration // when a fault of the core last started or ended
	stableSince     time.Duration // -1: the core is not stable
	maySuspendUntil time.Duration // more machines were lost than tolerated: service may be suspended until then
	newestView      *nodepb.View  // of the highest epoch that any node has known; nil: none
}

// recordCoreFault records that a fault of the core starts or ends now.
func (h *health) recordCoreFault() {
	h.coreFaultAt = h.sim.now
	h.stableSince = -1
}

// isCoreStable reports whether nothing has been done to the core for contactTimeout, no faulty machine with an impaired disk runs, and
// some machine reaches a majority.
func (h *health) isCoreStable() bool {
	sim := h.sim
	if sim.now-h.coreFaultAt < contactTimeout {
		return false
	}
	core := sim.coreMachines()
	majorityExists := false
	for _, m := range core {
		if m.activeFaults > 0 && m.running && sim.now >= m.frozenUntil && m.diskImpaired() {
			return false
		}
		majorityExists = majorityExists || h.reachesMajority(m)
	}
	return majorityExists
}

// isUp reports whether the process runs and is not frozen.
func (m *machine) isUp() bool { return m.running && m.sim.now >= m.frozenUntil }

// diskImpaired reports whether the disk hangs or is slow.
func (m *machine) diskImpaired() bool {
	return m.diskHangsUntil > m.sim.now || m.syncDuration > m.soundSyncDuration()
}

// connected reports whether the links between two machines are up in both directions.
func (h *health) connected(a, b *machine) bool {
	return a == b || !h.sim.network.isPartitioned(a, b) && !h.sim.network.isPartitioned(b, a)
}

// reachesMajority reports whether a core machine runs and reaches more than half of the core, itself included.
func (h *health) reachesMajority(m *machine) bool {
	if !m.isUp() {
		return false
	}
	core := h.sim.coreMachines()
	reached := 0
	for _, other := range core {
		if other.isUp() && h.connected(m, other) {
			reached++
		}
	}
	return 2*reached > len(core)
}

// sample updates since when the core is stable, and until when service may be suspended.
func (h *health) sample() {
	h.updateNewestView()
	if h.lostMachines() > h.sim.plan.Tolerance {
		h.maySuspendUntil = h.sim.now + recoveryTimeout
	}
	switch {
	case !h.isCoreStable():
		h.stableSince = -1
	case h.stableSince < 0:
		h.stableSince = h.sim.now
	}
}

// lostMachines counts the core machines that are lost: those with a fault, and for catchUpTimeout after it.
func (h *health) lostMachines() int {
	lost := 0
	for _, m := range h.sim.coreMachines() {
		if !m.isUp() || m.activeFaults > 0 || h.sim.now-m.faultChangedAt < catchUpTimeout || h.isPartitioned(m) {
			lost++
		}
	}
	return lost
}

// isPartitioned reports whether the machine is partitioned from another one of the core.
func (h *health) isPartitioned(m *machine) bool {
	for _, other := range h.sim.coreMachines() {
		if !h.connected(m, other) {
			return true
		}
	}
	return false
}

// maySuspendService reports whether service may be suspended, as more machines were lost at a time than is tolerated.
func (h *health) maySuspendService() bool { return h.sim.now < h.maySuspendUntil }

// inContact reports whether the machine is in contact: up, without a fault for contactTimeout, in a stable core, and connected to each
// core machine that reaches a majority.
func (h *health) inContact(m *machine) bool {
	sim := h.sim
	if !m.isUp() || m.activeFaults > 0 || sim.now-m.faultChangedAt < contactTimeout || h.stableSince < 0 {
		return false
	}
	for _, other := range sim.coreMachines() {
		if other != m && h.reachesMajority(other) && !h.connected(m, other) {
			return false
		}
	}
	return true
}
