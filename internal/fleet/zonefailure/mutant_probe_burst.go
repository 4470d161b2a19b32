//go:build mutant_probe_burst

package zonefailure

const (
	mutantStall      = false
	mutantClock      = false
	mutantSiblings   = false
	mutantRelapse    = false
	mutantLateAnswer = false
	mutantHearsay    = false
	mutantProbeBurst = true
	mutantFew        = false
)
const mutantAny = true
