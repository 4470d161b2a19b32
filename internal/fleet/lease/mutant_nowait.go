//go:build mutant_nowait

package lease

const (
	mutantRevive      = false
	mutantBack        = false
	mutantReuse       = false
	mutantOldWord     = false
	mutantOldProgress = false
	mutantNoWait      = true
	mutantLongHold    = false
	mutantAnswerTime  = false
)
