//go:build mutant_hearsay

package zonefailure

const (
	mutantStall      = false
	mutantClock      = false
	mutantSiblings   = false
	mutantRelapse    = false
	mutantLateAnswer = false
	mutantHearsay    = true
	mutantProbeBurst = false
	mutantFew        = false
)
const mutantAny = true
