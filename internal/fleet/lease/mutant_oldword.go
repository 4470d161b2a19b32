//go:build mutant_oldword

package lease

const (
	mutantRevive      = false
	mutantBack        = false
	mutantReuse       = false
	mutantOldWord     = true
	mutantOldProgress = false
	mutantNoWait      = false
	mutantLongHold    = false
	mutantAnswerTime  = false
)
