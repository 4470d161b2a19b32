//go:build plant_nowait

package lease

const (
	plantRevive      = false
	plantBack        = false
	plantReuse       = false
	plantOldWord     = false
	plantOldProgress = false
	plantNoWait      = true
	plantLongHold    = false
	plantAnswerTime  = false
)
