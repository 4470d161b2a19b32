//go:build !plant_most && !plant_stuck && !plant_blind

package capacity

// Planted defects, each behind a build tag: TestPlantedDefects shows that each is found.
const (
	plantMost  = false // the highest values are rejected first
	plantStuck = false // a threshold once set stays
	plantBlind = false // the share is not scaled after a loss
)
const plantAny = false
