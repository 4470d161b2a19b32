//go:build mutant_nowait

package lease

const (
	mutantRenewExpired         = false
	mutantReviveEndedLease     = false
	mutantReuseToken           = false
	mutantAcceptOlderProgress  = false
	mutantAcceptStaleToken     = false
	mutantSkipLeaderWait       = true
	mutantHolderOutlivesLessor = false
	mutantLeaseFromResponse    = false
)
