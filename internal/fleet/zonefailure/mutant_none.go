//go:build !mutant_stall && !mutant_clock && !mutant_siblings && !mutant_relapse && !mutant_late_answer && !mutant_hearsay && !mutant_probe_burst && !mutant_few

package zonefailure

// Mutants, each behind a build tag: TestMutantsAreFound shows that the tests find each.
const (
	mutantStall      = false
	mutantClock      = false
	mutantSiblings   = false
	mutantRelapse    = false
	mutantLateAnswer = false
	mutantHearsay    = false
	mutantProbeBurst = false
	mutantFew        = false
)
const mutantAny = false
