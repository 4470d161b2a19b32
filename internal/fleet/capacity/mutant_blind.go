//go:build mutant_blind

package capacity

const (
	mutantHighestFirst = false
	mutantStuck        = false
	mutantBlind        = true
)
const mutantAny = true
