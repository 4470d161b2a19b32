//go:build !debug

package must

// Debug tells whether breaches panic.
const Debug = false
