//go:build mutant_late_answer

package zonefailure

// This mutant treats an answer to a sub-request from before the loss as the beginning of a recovery.
// mutant_none.go describes all mutants.
const (
	mutantStall          = false
	mutantClock          = false
	mutantSiblings       = false
	mutantRelapse        = false
	mutantLateAnswer     = true
	mutantUncorroborated = false
	mutantProbeBurst     = false
	mutantFew            = false
)

// mutantAny reports whether this is the build of a mutant.
const mutantAny = true
