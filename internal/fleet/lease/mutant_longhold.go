//go:build mutant_longhold

package lease

const (
	mutantRevive      = false
	mutantBack        = false
	mutantReuse       = false
	mutantOldWord     = false
	mutantOldProgress = false
	mutantNoWait      = false
	mutantLongHold    = true
	mutantAnswerTime  = false
)
