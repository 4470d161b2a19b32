//go:build !debug

package invariant

// Debug tells whether breaches panic.
const Debug = false
