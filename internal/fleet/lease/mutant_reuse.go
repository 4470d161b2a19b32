//go:build mutant_reuse

package lease

const (
	mutantRevive      = false
	mutantBack        = false
	mutantReuse       = true
	mutantOldWord     = false
	mutantOldProgress = false
	mutantNoWait      = false
	mutantLongHold    = false
	mutantAnswerTime  = false
)
