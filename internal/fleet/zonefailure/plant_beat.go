//go:build plant_beat

package zonefailure

const (
	plantStood   = false
	plantClock   = false
	plantMates   = false
	plantRelapse = false
	plantLate    = false
	plantDeaf    = false
	plantBeat    = true
	plantFew     = false
)
const plantAny = true
