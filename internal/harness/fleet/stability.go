package fleet

import (
	"slices"
	"time"
)

// span is a stretch of time.
type span struct{ from, until time.Time }

func (s span) duration() time.Duration { return s.until.Sub(s.from) }

// minStretch is the least length of a stretch that adds up with others. Source: RULES.md, "Model brokers", VERSION.
const minStretch = 2 * time.Second

// stableStretches are the stretches between two times in which the core was stable and no link was in trouble, in order. The core is
// unstable from a fault of one of its nodes, a stop included, until the bound on contact after its end (RULES.md, "Stable").
func (e *evidence) stableStretches(from, until time.Time) []span {
	var unstable []span
	add := func(startedAt, endedAt time.Time, after time.Duration) {
		if endedAt.IsZero() {
			endedAt = until
		}
		unstable = append(unstable, span{from: startedAt, until: endedAt.Add(after)})
	}
	for _, fault := range e.nodeFaults {
		if slices.Contains(e.core, fault.Node) {
			add(fault.StartedAt, fault.EndedAt, e.bounds.Contact)
		}
	}
	for _, fault := range e.linkFaults {
		add(fault.StartedAt, fault.EndedAt, 0)
	}
	slices.SortFunc(unstable, func(a, b span) int { return a.from.Compare(b.from) })
	var stretches []span
	for _, fault := range unstable {
		if fault.from.After(from) && from.Before(until) {
			stretches = append(stretches, span{from: from, until: earlier(fault.from, until)})
		}
		if fault.until.After(from) {
			from = fault.until
		}
	}
	if from.Before(until) {
		stretches = append(stretches, span{from: from, until: until})
	}
	return stretches
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// versionOverdue reports whether a run at a time must not use weights older than those acknowledged: a single stable stretch since
// has lasted for the bound, or those of two seconds and more have for the bound on all together.
func (e *evidence) versionOverdue(acknowledgedAt, startedAt time.Time) bool {
	total := time.Duration(0)
	for _, stretch := range e.stableStretches(acknowledgedAt, startedAt) {
		if stretch.duration() > e.bounds.Version {
			return true
		}
		if stretch.duration() >= minStretch {
			total += stretch.duration()
		}
	}
	return total > e.bounds.versionAll()
}
