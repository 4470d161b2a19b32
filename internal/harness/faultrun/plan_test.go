package faultrun

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestMixedPlansDiffer: plans from firstMixedSeed on have nine core machines and different disks at times, earlier ones never.
func TestMixedPlansDiffer(t *testing.T) {
	nine, disks := 0, 0
	for seed := range uint64(200) {
		assert.Equal(t, len(PlanOf(seed).Disks), 0)
		plan := PlanOf(firstMixedSeed + seed)
		if plan.CoreSize == 9 {
			nine++
		}
		if len(plan.Disks) > 0 {
			disks++
		}
		assert.Assert(t, plan.Tolerance < (plan.CoreSize+1)/2, "%+v", plan)
	}
	assert.Assert(t, nine > 40 && disks > 60, "%d and %d of 200", nine, disks)
}

func TestMixedRunsHold(t *testing.T) {
	runs := uint64(8)
	if testing.Short() {
		runs = 2
	}
	for seed := range runs {
		r := Play(PlanOf(firstMixedSeed+seed), false)
		assert.Equal(t, r.Violation, "", "seed %d", firstMixedSeed+seed)
	}
}
