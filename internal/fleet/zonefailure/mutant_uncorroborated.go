//go:build mutant_uncorroborated

package zonefailure

// This mutant declares a loss although no other site answers, and ignores what peers report.
// mutant_none.go describes all mutants.
const (
	mutantStall          = false
	mutantClock          = false
	mutantSiblings       = false
	mutantRelapse        = false
	mutantLateAnswer     = false
	mutantUncorroborated = true
	mutantProbeBurst     = false
	mutantFew            = false
)

// mutantAny reports whether this is the build of a mutant.
const mutantAny = true
