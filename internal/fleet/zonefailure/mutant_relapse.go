//go:build mutant_relapse

package zonefailure

const (
	mutantStall      = false
	mutantClock      = false
	mutantSiblings   = false
	mutantRelapse    = true
	mutantLateAnswer = false
	mutantHearsay    = false
	mutantProbeBurst = false
	mutantFew        = false
)
const mutantAny = true
