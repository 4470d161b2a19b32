//go:build plant_reuse

package lease

const (
	plantRevive      = false
	plantBack        = false
	plantReuse       = true
	plantOldWord     = false
	plantOldProgress = false
	plantNoWait      = false
	plantLongHold    = false
	plantAnswerTime  = false
)
