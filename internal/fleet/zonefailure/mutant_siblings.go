//go:build mutant_siblings

package zonefailure

const (
	mutantStall      = false
	mutantClock      = false
	mutantSiblings   = true
	mutantRelapse    = false
	mutantLateAnswer = false
	mutantHearsay    = false
	mutantProbeBurst = false
	mutantFew        = false
)
const mutantAny = true
