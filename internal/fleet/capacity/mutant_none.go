//go:build !mutant_highest_first && !mutant_stuck && !mutant_blind

package capacity

// Deliberate defects, each enabled by a build tag. TestPlantedDefects checks that the tests detect each of them.
const (
	mutantHighestFirst = false // the highest values are rejected first
	mutantStuck        = false // the admitted share does not increase when the overload ends
	mutantBlind        = false // the admitted share is not scaled when the capacity changes
)

// mutantAny tells whether any defect is enabled.
const mutantAny = false
