//go:build debug

package must

const Debug = true
