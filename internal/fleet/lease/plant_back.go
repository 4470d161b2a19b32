//go:build plant_back

package lease

const (
	plantRevive      = false
	plantBack        = true
	plantReuse       = false
	plantOldWord     = false
	plantOldProgress = false
	plantNoWait      = false
	plantLongHold    = false
	plantAnswerTime  = false
)
