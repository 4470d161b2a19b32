//go:build plant_deaf

package zonefailure

const (
	plantStood   = false
	plantClock   = false
	plantMates   = false
	plantRelapse = false
	plantLate    = false
	plantDeaf    = true
	plantBeat    = false
	plantFew     = false
)
const plantAny = true
