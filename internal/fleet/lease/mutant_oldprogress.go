//go:build mutant_oldprogress

package lease

const (
	mutantRevive      = false
	mutantBack        = false
	mutantReuse       = false
	mutantOldWord     = false
	mutantOldProgress = true
	mutantNoWait      = false
	mutantLongHold    = false
	mutantAnswerTime  = false
)
