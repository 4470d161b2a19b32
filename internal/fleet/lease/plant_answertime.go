//go:build plant_answertime

package lease

const (
	plantRevive      = false
	plantBack        = false
	plantReuse       = false
	plantOldWord     = false
	plantOldProgress = false
	plantNoWait      = false
	plantLongHold    = false
	plantAnswerTime  = true
)
