//go:build plant_late

package zonefailure

const (
	plantStood   = false
	plantClock   = false
	plantMates   = false
	plantRelapse = false
	plantLate    = true
	plantDeaf    = false
	plantBeat    = false
	plantFew     = false
)
const plantAny = true
