//go:build mutant_reuse

package lease

const (
	mutantRenewExpired         = false
	mutantReviveEndedLease     = false
	mutantReuseToken           = true
	mutantAcceptOlderProgress  = false
	mutantAcceptStaleToken     = false
	mutantSkipLeaderWait       = false
	mutantHolderOutlivesLessor = false
	mutantLeaseFromResponse    = false
)
