//go:build plant_longhold

package lease

const (
	plantRevive      = false
	plantBack        = false
	plantReuse       = false
	plantOldWord     = false
	plantOldProgress = false
	plantNoWait      = false
	plantLongHold    = true
	plantAnswerTime  = false
)
