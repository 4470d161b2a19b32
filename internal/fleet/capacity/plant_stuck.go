//go:build plant_stuck

package capacity

const (
	plantMost  = false
	plantStuck = true
	plantBlind = false
)
const plantAny = true
