//go:build !mutant_revive && !mutant_back && !mutant_reuse && !mutant_oldprogress && !mutant_oldword && !mutant_nowait && !mutant_longhold && !mutant_answertime

package lease

// Planted defects, each behind a build tag. TestPlantedDefects of internal/standin/leasesim shows
// that each is found.
const (
	mutantRevive      = false // a lease that has run out is renewed
	mutantBack        = false // a delayed response brings a released lease back
	mutantReuse       = false // a grant reuses the token before it
	mutantOldWord     = false // progress is stored over later progress of the same holder
	mutantOldProgress = false // a stale holder's progress is stored
	mutantNoWait      = false // a new leader does not wait out running leases
	mutantLongHold    = false // a holder trusts its lease longer than the lessor does
	mutantAnswerTime  = false // a lease counts from the response, not from the request
)
