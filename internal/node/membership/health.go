package membership

import "kestrelspread/internal/node/core"

const (
	maxAwareness = 4
	// silentMisses is the number of members missed in a row from which on silence speaks against this node.
	silentMisses = 3
)

// health is what a node holds of itself.
type health struct {
	// awareness is raised where this node seems slow or cut off, and lowered by each probe that is answered. Its own
	// period and timeout grow with it.
	awareness int

	misses     int // different members in a row whose probes were not answered
	lastMissed string
	missingFor core.Time // when the first of those probes was sent
	heardAt    core.Time // when any message came last
}

// stretch returns the span, longer where this node doubts itself: up to three times.
func (h *health) stretch(span core.Time) core.Time {
	return span + span*core.Time(h.awareness)/2
}

func (h *health) heard(now core.Time) { h.heardAt = now }

func (h *health) answered() {
	h.misses = 0
	h.lastMissed = ""
	h.awareness = max(h.awareness-1, 0)
}

// suspected takes note that others suspect this node.
func (h *health) suspected() { h.doubt() }

func (h *health) doubt() { h.awareness = min(h.awareness+1, maxAwareness) }

// stalled takes note that this node was stopped.
func (h *health) stalled() {
	h.misses = 0
	h.lastMissed = ""
	h.doubt()
}

// missed takes note of a probe that was not answered, and reports whether this node is to blame itself alone: several
// members in a row did not answer, nothing at all was heard meanwhile, and it has not doubted itself long enough yet.
func (h *health) missed(target string, sentAt core.Time) bool {
	if target == h.lastMissed {
		return false
	}
	if h.misses == 0 {
		h.missingFor = sentAt
	}
	h.misses++
	h.lastMissed = target
	silent := h.heardAt < h.missingFor
	if !silent || h.misses < 2 {
		return false
	}
	doubted := h.awareness == maxAwareness
	h.doubt()
	return h.misses >= silentMisses && !doubted
}

// recoverFromStall takes note that this node was stopped for so long. What it waited for meanwhile tells nothing of
// the others; suspects get their time anew, as their refutations may have been missed.
func (m *Membership) recoverFromStall(late core.Time) {
	m.health.stalled()
	m.probes.end()
	m.probes.relays = nil
	if m.probes.next != core.Never {
		m.probes.next = m.now + m.randomSpan(m.options.Period)
	}
	for _, suspect := range m.table.suspects {
		m.beginSuspicion(suspect)
	}
	m.log("node was stopped", "late", late)
	if m.sync.mayAsk(m.now) {
		for _, member := range m.table.pick(stallSyncs, "", m.random) {
			m.ask(member.Address)
		}
	}
}
