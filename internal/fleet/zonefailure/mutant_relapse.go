//go:build mutant_relapse

package zonefailure

// This mutant keeps the recovery step at its initial length after repeated losses.
// mutant_none.go describes all mutants.
const (
	mutantStall          = false
	mutantClock          = false
	mutantSiblings       = false
	mutantRelapse        = true
	mutantLateAnswer     = false
	mutantUncorroborated = false
	mutantProbeBurst     = false
	mutantFew            = false
)

// mutantAny reports whether this is the build of a mutant.
const mutantAny = true
