//go:build mutant_oldword

package lease

const (
	mutantRenewExpired         = false
	mutantReviveEndedLease     = false
	mutantReuseToken           = false
	mutantAcceptOlderProgress  = true
	mutantAcceptStaleToken     = false
	mutantSkipLeaderWait       = false
	mutantHolderOutlivesLessor = false
	mutantLeaseFromResponse    = false
)
