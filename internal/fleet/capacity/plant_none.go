//go:build !plant_most && !plant_stuck && !plant_blind

package capacity

// Planted defects, each behind a build tag: TestPlantedDefects shows that each is found.
const (
	plantMost  = false // the most valued are refused first
	plantStuck = false // a line once drawn stays
	plantBlind = false // what is left after a loss is not looked at
)
const plantAny = false
