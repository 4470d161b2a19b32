//go:build plant_oldprogress

package lease

const (
	plantRevive      = false
	plantBack        = false
	plantReuse       = false
	plantOldWord     = false
	plantOldProgress = true
	plantNoWait      = false
	plantLongHold    = false
	plantAnswerTime  = false
)
