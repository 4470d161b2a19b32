//go:build !plant_stood && !plant_clock && !plant_mates && !plant_relapse && !plant_late && !plant_deaf && !plant_beat && !plant_few

package zonefailure

// Planted defects, each behind a build tag: TestPlantedDefects shows that each is found.
const (
	plantStood   = false
	plantClock   = false
	plantMates   = false
	plantRelapse = false
	plantLate    = false
	plantDeaf    = false
	plantBeat    = false
	plantFew     = false
)
const plantAny = false
