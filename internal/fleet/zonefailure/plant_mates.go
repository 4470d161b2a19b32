//go:build plant_mates

package zonefailure

const (
	plantStood   = false
	plantClock   = false
	plantMates   = true
	plantRelapse = false
	plantLate    = false
	plantDeaf    = false
	plantBeat    = false
	plantFew     = false
)
const plantAny = true
