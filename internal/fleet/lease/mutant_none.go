//go:build !mutant_revive && !mutant_back && !mutant_reuse && !mutant_oldprogress && !mutant_oldword && !mutant_nowait && !mutant_longhold && !mutant_answertime

package lease

// Deliberate defects, each enabled by a build tag of its own. TestPlantedDefects in
// internal/standin/leasesim checks that the simulation detects each of them.
const (
	mutantRenewExpired         = false // the lessor renews a lease that has expired
	mutantReviveEndedLease     = false // a delayed response revives a lease that the holder has ended
	mutantReuseToken           = false // a grant reuses the token of the previous grant
	mutantAcceptOlderProgress  = false // delayed progress overwrites later progress of the same grant
	mutantAcceptStaleToken     = false // progress is accepted from a holder whose token is stale
	mutantSkipLeaderWait       = false // a new leader does not wait for running leases to expire
	mutantHolderOutlivesLessor = false // a holder trusts its lease longer than the lessor keeps it
	mutantLeaseFromResponse    = false // the holder counts a lease from the response instead of the request
)
