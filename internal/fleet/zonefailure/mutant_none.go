//go:build !mutant_stall && !mutant_clock && !mutant_siblings && !mutant_relapse && !mutant_late_answer && !mutant_uncorroborated && !mutant_probe_burst && !mutant_few

package zonefailure

// Mutants are deliberate faults, each enabled by a build tag of its own. TestMutantsAreFound checks that the tests detect each of
// them. Without such a tag all are off.
const (
	// mutantStall ignores stalls of this process, so that answers unread during a stall count as failures.
	mutantStall = false
	// mutantClock ends a recovery once the step has passed, without waiting for enough answers.
	mutantClock = false
	// mutantSiblings counts a server as failed although other servers of its site have answered since.
	mutantSiblings = false
	// mutantRelapse keeps the recovery step at its initial length after repeated losses.
	mutantRelapse = false
	// mutantLateAnswer treats an answer to a sub-request from before the loss as the beginning of a recovery.
	mutantLateAnswer = false
	// mutantUncorroborated declares a loss although no other site answers, and ignores what peers report.
	mutantUncorroborated = false
	// mutantProbeBurst has all servers of a lost site probed at once.
	mutantProbeBurst = false
	// mutantFew declares a loss after the failure of a single server.
	mutantFew = false
)

// mutantAny reports whether this is the build of a mutant.
const mutantAny = false
