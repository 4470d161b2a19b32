//go:build plant_blind

package capacity

const (
	plantMost  = false
	plantStuck = false
	plantBlind = true
)
const plantAny = true
