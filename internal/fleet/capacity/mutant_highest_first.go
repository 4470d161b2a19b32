//go:build mutant_highest_first

package capacity

const (
	mutantHighestFirst = true
	mutantStuck        = false
	mutantBlind        = false
)
const mutantAny = true
