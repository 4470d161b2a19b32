//go:build mutant_answertime

package lease

const (
	mutantRenewExpired         = false
	mutantReviveEndedLease     = false
	mutantReuseToken           = false
	mutantAcceptOlderProgress  = false
	mutantAcceptStaleToken     = false
	mutantSkipLeaderWait       = false
	mutantHolderOutlivesLessor = false
	mutantLeaseFromResponse    = true
)
