//go:build mutant_few

package zonefailure

const (
	mutantStall      = false
	mutantClock      = false
	mutantSiblings   = false
	mutantRelapse    = false
	mutantLateAnswer = false
	mutantHearsay    = false
	mutantProbeBurst = false
	mutantFew        = true
)
const mutantAny = true
