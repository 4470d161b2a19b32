// Package invariant checks conditions that must always hold for the program's own state. In builds with -tags debug a violation
// panics, so that tests find it. In release builds it is counted and the program goes on, because a wrong count, for example, must
// not abort the searches in flight. Errors of peers, files or the network are not violations of invariants.
package invariant

import "sync/atomic"

var violations atomic.Int64

// Check counts a violation if holds is false, and in debug builds panics. rule is the sentence that should be true.
func Check(holds bool, rule string) {
	if holds {
		return
	}
	violations.Add(1)
	if Debug {
		panic("invariant violated: " + rule)
	}
}

// Violations returns the number of violations since the start of the process.
func Violations() int64 { return violations.Load() }
