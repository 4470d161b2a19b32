package faultrun

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCampaignReportsItsRuns(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, Campaign(context.Background(), &out, CampaignOptions{First: 3, Last: 5, Jobs: 2, ShrinkPlays: 1}))
	assert.Assert(t, strings.Contains(out.String(), "3 runs, "), out.String()) // lines on its progress may stand before
	assert.Assert(t, strings.Contains(out.String(), " 0 broken"), out.String())
}

// TestReplayReportsInvalidPlansAndViolations replays a printed plan without violation, one that can't be decoded, and one with a violation.
func TestReplayReportsInvalidPlansAndViolations(t *testing.T) {
	var out strings.Builder
	plan := PlanOf(4)
	text, err := json.Marshal(plan)
	assert.NilError(t, err)
	assert.NilError(t, Replay(&out, text))
	assert.Assert(t, errors.Is(Replay(&out, []byte("{")), ErrPlan))

	plan.Faults = []Fault{{InjectAt: 4 * time.Second, Kind: TotalDiskLoss}}
	text, err = json.Marshal(plan)
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(Replay(&out, text), ErrViolation))
}

// TestShrinkKeepsOnlyTheViolatingFault reduces a plan to the one fault that violates something.
func TestShrinkKeepsOnlyTheViolatingFault(t *testing.T) {
	plan := PlanOf(4)
	plan.Faults = []Fault{
		{InjectAt: 3 * time.Second, Kind: ProcessFreeze, TargetA: 5, Duration: time.Second},
		{InjectAt: 4 * time.Second, Kind: TotalDiskLoss},
		{InjectAt: 5 * time.Second, Kind: OperatorBurst, Duration: time.Second},
	}
	reduced := Shrink(plan, 20)
	assert.Equal(t, len(reduced.Faults), 1)
	assert.Equal(t, reduced.Faults[0].Kind, TotalDiskLoss)
}
