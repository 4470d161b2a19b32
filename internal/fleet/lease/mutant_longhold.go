//go:build mutant_longhold

package lease

const (
	mutantRenewExpired         = false
	mutantReviveEndedLease     = false
	mutantReuseToken           = false
	mutantAcceptOlderProgress  = false
	mutantAcceptStaleToken     = false
	mutantSkipLeaderWait       = false
	mutantHolderOutlivesLessor = true
	mutantLeaseFromResponse    = false
)
