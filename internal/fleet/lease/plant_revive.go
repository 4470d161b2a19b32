//go:build plant_revive

package lease

const (
	plantRevive      = true
	plantBack        = false
	plantReuse       = false
	plantOldWord     = false
	plantOldProgress = false
	plantNoWait      = false
	plantLongHold    = false
	plantAnswerTime  = false
)
