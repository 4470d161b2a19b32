//go:build mutant_siblings

package zonefailure

// This mutant counts a server as failed although other servers of its site have answered since.
// mutant_none.go describes all mutants.
const (
	mutantStall          = false
	mutantClock          = false
	mutantSiblings       = true
	mutantRelapse        = false
	mutantLateAnswer     = false
	mutantUncorroborated = false
	mutantProbeBurst     = false
	mutantFew            = false
)

// mutantAny reports whether this is the build of a mutant.
const mutantAny = true
