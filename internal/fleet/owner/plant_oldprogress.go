//go:build plant_oldprogress

package owner

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
