//go:build mutant_clock

package zonefailure

const (
	mutantStall      = false
	mutantClock      = true
	mutantSiblings   = false
	mutantRelapse    = false
	mutantLateAnswer = false
	mutantHearsay    = false
	mutantProbeBurst = false
	mutantFew        = false
)
const mutantAny = true
