//go:build !plant_revive && !plant_back && !plant_reuse && !plant_oldprogress && !plant_oldword && !plant_nowait && !plant_longhold && !plant_answertime

package lease

// Planted defects, each behind a build tag. TestPlantedDefects of internal/standin/leasesim shows
// that each is found.
const (
	plantRevive      = false // a lease that has run out is renewed
	plantBack        = false // a delayed response brings a released lease back
	plantReuse       = false // a grant reuses the token before it
	plantOldWord     = false // progress is stored over later progress of the same holder
	plantOldProgress = false // a stale holder's progress is stored
	plantNoWait      = false // a new leader does not wait out running leases
	plantLongHold    = false // a holder trusts its lease longer than the lessor does
	plantAnswerTime  = false // a lease counts from the response, not from the request
)
