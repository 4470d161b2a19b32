//go:build !plant_revive && !plant_back && !plant_reuse && !plant_oldprogress && !plant_oldword && !plant_nowait && !plant_longhold && !plant_answertime

package lease

// Planted defects, each behind a build tag: TestPlantedDefects shows that each is found.
const (
	plantRevive      = false
	plantBack        = false
	plantReuse       = false
	plantOldWord     = false
	plantOldProgress = false
	plantNoWait      = false
	plantLongHold    = false
	plantAnswerTime  = false
)
