//go:build !mutant_highest_first && !mutant_stuck && !mutant_blind

package capacity

// Planted defects, each behind a build tag: TestPlantedDefects shows that each is found.
const (
	mutantHighestFirst = false // the highest values are rejected first
	mutantStuck        = false // a threshold once set stays
	mutantBlind        = false // the share is not scaled after a loss
)
const mutantAny = false
