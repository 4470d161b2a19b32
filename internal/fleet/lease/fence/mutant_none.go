//go:build !mutant_nofence

package fence

const mutantNoFence = false
