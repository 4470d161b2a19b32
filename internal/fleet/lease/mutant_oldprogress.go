//go:build mutant_oldprogress

package lease

const (
	mutantRenewExpired         = false
	mutantReviveEndedLease     = false
	mutantReuseToken           = false
	mutantAcceptOlderProgress  = false
	mutantAcceptStaleToken     = true
	mutantSkipLeaderWait       = false
	mutantHolderOutlivesLessor = false
	mutantLeaseFromResponse    = false
)
