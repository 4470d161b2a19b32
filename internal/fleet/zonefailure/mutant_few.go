//go:build mutant_few

package zonefailure

// This mutant declares a loss after the failure of a single server.
// mutant_none.go describes all mutants.
const (
	mutantStall          = false
	mutantClock          = false
	mutantSiblings       = false
	mutantRelapse        = false
	mutantLateAnswer     = false
	mutantUncorroborated = false
	mutantProbeBurst     = false
	mutantFew            = true
)

// mutantAny reports whether this is the build of a mutant.
const mutantAny = true
