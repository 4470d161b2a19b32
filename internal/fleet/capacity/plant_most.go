//go:build plant_most

package capacity

const (
	plantMost  = true
	plantStuck = false
	plantBlind = false
)
const plantAny = true
