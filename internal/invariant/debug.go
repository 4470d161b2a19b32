//go:build debug

package invariant

const Debug = true
