package membership

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// maxAwareness bounds the awareness, and so how long a node that has recovered stays slow.
	maxAwareness = 4
	// Without any contact, the first of several members missed in a row is suspected as usual. From
	// the second on (awarenessMisses) the awareness rises, and from the third on
	// (unresponsiveMisses) the fault is taken for this node's own.
	awarenessMisses    = 2
	unresponsiveMisses = 3
	// stallAfter is how late an input may come until this node is taken to have been stopped.
	stallAfter = 500 * time.Millisecond
	// stallRequests is the number of members whose list a node requests after it was stopped.
	stallRequests = 3
)

// health is a node's estimate of its own health (Lifeguard: local health multiplier).
type health struct {
	// awareness is raised where this node seems slow or partitioned, and lowered by each ack. Its
	// own period and timeout grow with it.
	awareness int

	consecutiveMisses int // different members in a row whose probes got no ack
	lastMissed        string
	firstMissSentAt   core.Time // when the first of those probes was sent
	lastContactAt     core.Time // when the last message came
}

// scale returns the span scaled by the awareness: up to three times as long.
func (h *health) scale(span core.Time) core.Time {
	return span + span*core.Time(h.awareness)/2
}

// recordContact records that a message came.
func (h *health) recordContact(now core.Time) { h.lastContactAt = now }

// recordAck records an ack of a probe.
func (h *health) recordAck() {
	h.consecutiveMisses = 0
	h.lastMissed = ""
	h.awareness = max(h.awareness-1, 0)
}

// recordSuspicion records that others suspect this node.
func (h *health) recordSuspicion() { h.raiseAwareness() }

// raiseAwareness makes this node more careful with suspicions.
func (h *health) raiseAwareness() { h.awareness = min(h.awareness+1, maxAwareness) }

// recordStall records that this node was stopped.
func (h *health) recordStall() {
	h.consecutiveMisses = 0
	h.lastMissed = ""
	h.raiseAwareness()
}

// recordMiss records a probe without ack. It reports whether this node is to blame itself alone:
// several members in a row didn't answer, no message at all came meanwhile, and its awareness
// wasn't at the maximum yet.
func (h *health) recordMiss(target string, sentAt core.Time) bool {
	if target == h.lastMissed {
		return false
	}
	if h.consecutiveMisses == 0 {
		h.firstMissSentAt = sentAt
	}
	h.consecutiveMisses++
	h.lastMissed = target
	hadContact := h.lastContactAt >= h.firstMissSentAt
	if hadContact || h.consecutiveMisses < awarenessMisses {
		return false
	}
	wasAtMaximum := h.awareness == maxAwareness
	h.raiseAwareness()
	return h.consecutiveMisses >= unresponsiveMisses && !wasAtMaximum
}

// recoverFromStall handles that this node was stopped for so long. Acks that it missed meanwhile
// are no evidence against others; suspects get their full time again, as their refutations may have
// been missed.
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
	m.log("membership: this node was suspended", "late", late)
	if m.sync.allowRequest(m.now) {
		for _, member := range m.table.pick(stallRequests, "", m.random) {
			m.requestList(member.Address)
		}
	}
}
