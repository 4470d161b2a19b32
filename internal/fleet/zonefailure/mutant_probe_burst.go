//go:build mutant_probe_burst

package zonefailure

// This mutant has all servers of a lost site probed at once.
// mutant_none.go describes all mutants.
const (
	mutantStall          = false
	mutantClock          = false
	mutantSiblings       = false
	mutantRelapse        = false
	mutantLateAnswer     = false
	mutantUncorroborated = false
	mutantProbeBurst     = true
	mutantFew            = false
)

// mutantAny reports whether this is the build of a mutant.
const mutantAny = true
