//go:build plant_clock

package zonefailure

const (
	plantStood   = false
	plantClock   = true
	plantMates   = false
	plantRelapse = false
	plantLate    = false
	plantDeaf    = false
	plantBeat    = false
	plantFew     = false
)
const plantAny = true
