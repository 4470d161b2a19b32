// Package invariant states what must always hold in the program's own state. Under -tags debug a violation panics, so that
// tests find it; in a release it is counted, and the program goes on: a wrong count must not cost the searches in flight. It
// is not for errors of peers, files or the network.
package invariant

import "sync/atomic"

var violations atomic.Int64

// Check states that something holds, and what.
func Check(holds bool, what string) {
	if holds {
		return
	}
	violations.Add(1)
	if Debug {
		panic("must hold: " + what)
	}
}

// Violations counts the violations so far in this process.
func Violations() int64 { return violations.Load() }
