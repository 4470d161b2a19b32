package membership

import "kestrelspread/internal/node/core"

const (
	maxAwareness = 4
	// unresponsiveMisses is the number of members missed in a row from which on silence speaks against this node.
	unresponsiveMisses = 3
)

// health is what a node holds of itself.
type health struct {
	// awareness is raised where this node seems slow or cut off, and lowered by each probe that is answered. Its own
	// period and timeout grow with it.
	awareness int

	consecutiveMisses int // different members in a row whose probes were not answered
	lastMissed        string
	firstMissSentAt   core.Time // when the first of those probes was sent
	lastContactAt     core.Time // when any message came last
}

// scale returns the span, longer where this node doubts itself: up to three times.
func (h *health) scale(span core.Time) core.Time {
	return span + span*core.Time(h.awareness)/2
}

func (h *health) recordContact(now core.Time) { h.lastContactAt = now }

func (h *health) recordAck() {
	h.consecutiveMisses = 0
	h.lastMissed = ""
	h.awareness = max(h.awareness-1, 0)
}

// recordSuspicion takes note that others suspect this node.
func (h *health) recordSuspicion() { h.raiseAwareness() }

func (h *health) raiseAwareness() { h.awareness = min(h.awareness+1, maxAwareness) }

// recordStall takes note that this node was stopped.
func (h *health) recordStall() {
	h.consecutiveMisses = 0
	h.lastMissed = ""
	h.raiseAwareness()
}

// recordMiss takes note of a probe that was not answered, and reports whether this node is to blame itself alone: several
// members in a row did not answer, nothing at all was heard meanwhile, and it has not doubted itself long enough yet.
func (h *health) recordMiss(target string, sentAt core.Time) bool {
	if target == h.lastMissed {
		return false
	}
	if h.consecutiveMisses == 0 {
		h.firstMissSentAt = sentAt
	}
	h.consecutiveMisses++
	h.lastMissed = target
	silent := h.lastContactAt < h.firstMissSentAt
	if !silent || h.consecutiveMisses < 2 {
		return false
	}
	doubted := h.awareness == maxAwareness
	h.raiseAwareness()
	return h.consecutiveMisses >= unresponsiveMisses && !doubted
}

// recoverFromStall takes note that this node was stopped for so long. What it waited for meanwhile tells nothing of
// the others; suspects get their time anew, as their refutations may have been missed.
func (m *Membership) recoverFromStall(late core.Time) {
	m.health.recordStall()
	m.probes.endProbe()
	m.probes.relays = nil
	if m.probes.periodEndsAt != core.Never {
		m.probes.periodEndsAt = m.now + m.randomSpan(m.options.Period)
	}
	for _, suspect := range m.table.suspects {
		m.beginSuspicion(suspect)
	}
	m.log("node was stopped", "late", late)
	if m.sync.allowRequest(m.now) {
		for _, member := range m.table.pick(stallRequests, "", m.random) {
			m.requestList(member.Address)
		}
	}
}
