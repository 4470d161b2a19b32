package faultrun

import "time"

// health tells which machines are in touch, as RULES.md words it: promises with a time bound hold for these alone.
type health struct {
	world       *World
	coreAt      time.Duration // when something was last done to the core
	stableSince time.Duration // the core is stable since then; -1: it isn't
	restUntil   time.Duration // more was lost at a time than is tolerated: service may rest until then
}

func (h *health) coreTroubled() {
	h.coreAt = h.world.now
	h.stableSince = -1
}

// stable reports whether the core is stable.
func (h *health) stable() bool {
	w := h.world
	if w.now-h.coreAt < contactTime {
		return false
	}
	counting := w.core()
	connected := false
	for _, m := range counting {
		if m.troubles > 0 && m.running && w.now >= m.frozenUntil && m.diskTroubled() {
			return false
		}
		connected = connected || h.reachesMajority(m)
	}
	return connected
}

func (m *machine) up() bool { return m.running && m.world.now >= m.frozenUntil }

func (m *machine) diskTroubled() bool { return m.hangUntil > m.world.now || m.sync > m.world.plan.Sync }

// linked reports whether there is a path between two machines, both ways.
func (h *health) linked(a, b *machine) bool {
	return a == b || !h.world.network.cut(a, b) && !h.world.network.cut(b, a)
}

// reachesMajority reports whether a core machine runs and reaches more than half of the core, itself included.
func (h *health) reachesMajority(m *machine) bool {
	if !m.up() {
		return false
	}
	counting := h.world.core()
	reached := 0
	for _, other := range counting {
		if other.up() && h.linked(m, other) {
			reached++
		}
	}
	return 2*reached > len(counting)
}

// sample follows the time since when the core is stable, and whether more is lost than is tolerated.
func (h *health) sample() {
	if h.lost() > h.world.plan.Tolerance {
		h.restUntil = h.world.now + recoveryTime
	}
	switch {
	case !h.stable():
		h.stableSince = -1
	case h.stableSince < 0:
		h.stableSince = h.world.now
	}
}

// lost counts the machines that count as lost: those in trouble, and for catchUpS after it.
func (h *health) lost() int {
	lost := 0
	for _, m := range h.world.core() {
		if !m.up() || m.troubles > 0 || h.world.now-m.troubleAt < catchUpTime || h.cutOff(m) {
			lost++
		}
	}
	return lost
}

// cutOff reports whether the machine is cut off from another one of the core.
func (h *health) cutOff(m *machine) bool {
	for _, other := range h.world.core() {
		if !h.linked(m, other) {
			return true
		}
	}
	return false
}

// rests reports whether service may rest, as losses have overlapped beyond what is tolerated.
func (h *health) rests() bool { return h.world.now < h.restUntil }

// inTouch reports whether the machine is in touch just now.
func (h *health) inTouch(m *machine) bool {
	w := h.world
	if !m.up() || m.troubles > 0 || w.now-m.troubleAt < contactTime || h.stableSince < 0 {
		return false
	}
	for _, other := range w.core() {
		if other != m && h.reachesMajority(other) && !h.linked(m, other) {
			return false
		}
	}
	return true
}
