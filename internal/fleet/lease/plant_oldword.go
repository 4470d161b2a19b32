//go:build plant_oldword

package lease

const (
	plantRevive      = false
	plantBack        = false
	plantReuse       = false
	plantOldWord     = true
	plantOldProgress = false
	plantNoWait      = false
	plantLongHold    = false
	plantAnswerTime  = false
)
