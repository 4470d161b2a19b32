//go:build plant_relapse

package zonefailure

const (
	plantStood   = false
	plantClock   = false
	plantMates   = false
	plantRelapse = true
	plantLate    = false
	plantDeaf    = false
	plantBeat    = false
	plantFew     = false
)
const plantAny = true
