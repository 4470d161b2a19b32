//go:build plant_stood

package zonefailure

const (
	plantStood   = true
	plantClock   = false
	plantMates   = false
	plantRelapse = false
	plantLate    = false
	plantDeaf    = false
	plantBeat    = false
	plantFew     = false
)
const plantAny = true
