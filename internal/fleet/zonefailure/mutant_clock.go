//go:build mutant_clock

package zonefailure

// This mutant ends a recovery once the step has passed, without waiting for enough answers.
// mutant_none.go describes all mutants.
const (
	mutantStall          = false
	mutantClock          = true
	mutantSiblings       = false
	mutantRelapse        = false
	mutantLateAnswer     = false
	mutantUncorroborated = false
	mutantProbeBurst     = false
	mutantFew            = false
)

// mutantAny reports whether this is the build of a mutant.
const mutantAny = true
