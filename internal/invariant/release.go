//go:build !debug

package invariant

// Debug is whether a violation panics, as the build tag debug selects.
const Debug = false
