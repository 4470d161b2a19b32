//go:build mutant_revive

package lease

const (
	mutantRevive      = true
	mutantBack        = false
	mutantReuse       = false
	mutantOldWord     = false
	mutantOldProgress = false
	mutantNoWait      = false
	mutantLongHold    = false
	mutantAnswerTime  = false
)
