//go:build mutant_stall

package zonefailure

// This mutant ignores stalls of this process, so that answers unread during a stall count as failures.
// mutant_none.go describes all mutants.
const (
	mutantStall          = true
	mutantClock          = false
	mutantSiblings       = false
	mutantRelapse        = false
	mutantLateAnswer     = false
	mutantUncorroborated = false
	mutantProbeBurst     = false
	mutantFew            = false
)

// mutantAny reports whether this is the build of a mutant.
const mutantAny = true
