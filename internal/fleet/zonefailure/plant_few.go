//go:build plant_few

package zonefailure

const (
	plantStood   = false
	plantClock   = false
	plantMates   = false
	plantRelapse = false
	plantLate    = false
	plantDeaf    = false
	plantBeat    = false
	plantFew     = true
)
const plantAny = true
