//go:build mutant_back

package lease

const (
	mutantRenewExpired         = false
	mutantReviveEndedLease     = true
	mutantReuseToken           = false
	mutantAcceptOlderProgress  = false
	mutantAcceptStaleToken     = false
	mutantSkipLeaderWait       = false
	mutantHolderOutlivesLessor = false
	mutantLeaseFromResponse    = false
)
