//go:build mutant_late_answer

package zonefailure

const (
	mutantStall      = false
	mutantClock      = false
	mutantSiblings   = false
	mutantRelapse    = false
	mutantLateAnswer = true
	mutantHearsay    = false
	mutantProbeBurst = false
	mutantFew        = false
)
const mutantAny = true
