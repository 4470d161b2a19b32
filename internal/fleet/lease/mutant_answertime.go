//go:build mutant_answertime

package lease

const (
	mutantRevive      = false
	mutantBack        = false
	mutantReuse       = false
	mutantOldWord     = false
	mutantOldProgress = false
	mutantNoWait      = false
	mutantLongHold    = false
	mutantAnswerTime  = true
)
