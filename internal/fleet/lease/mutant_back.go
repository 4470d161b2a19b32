//go:build mutant_back

package lease

const (
	mutantRevive      = false
	mutantBack        = true
	mutantReuse       = false
	mutantOldWord     = false
	mutantOldProgress = false
	mutantNoWait      = false
	mutantLongHold    = false
	mutantAnswerTime  = false
)
