//go:build mutant_nofence

package fence

const mutantNoFence = true // a planted defect
