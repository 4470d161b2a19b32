//go:build mutant_stuck

package capacity

const (
	mutantHighestFirst = false
	mutantStuck        = true
	mutantBlind        = false
)
const mutantAny = true
