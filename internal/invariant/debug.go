//go:build debug

package invariant

// Debug tells whether violations panic.
const Debug = true
