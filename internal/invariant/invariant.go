// Package invariant says what has to hold. Under -tags debug a breach panics; in a release it is counted, and the
// broker goes on: a wrong count must not cost the searches that it holds.
package invariant

import "sync/atomic"

var broken atomic.Int64

// Hold states that something has to be true.
func Hold(is bool, what string) {
	if is {
		return
	}
	broken.Add(1)
	if Debug {
		panic("must hold: " + what)
	}
}

// Broken counts the breaches so far.
func Broken() int64 { return broken.Load() }
