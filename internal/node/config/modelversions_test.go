package config_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/nodepb"
)

func modelVersionCommand(model string, version uint64) *nodepb.Command {
	change := &nodepb.ModelVersionChange{Model: model, Version: version}
	return &nodepb.Command{Change: &nodepb.Command_ModelVersion{ModelVersion: change}}
}

func TestModelVersionsOnlyRise(t *testing.T) {
	r := configured(t)
	assert.Equal(t, r.Compile().ModelVersion("daka510000"), uint64(1))
	for _, step := range []struct {
		model       string
		version     uint64
		code        nodepb.ResultCode
		newest      uint64
		entryNeeded bool
	}{
		{"daka510000", 1, taken, 1, false},
		{"daka510000", 2, taken, 2, true},
		{"daka510000", 2, taken, 2, false},
		{"daka510000", 5, taken, 5, true},
		{"daka510000", 2, taken, 5, false},
		{"daka510000", 4, taken, 5, false}, // overtaken on its way: what it asks for holds
		{"daka510000", 0, invalid, 5, false},
		{"not-yet-known", 3, taken, 3, true},
		{"", 3, invalid, 1, false},
		{strings.Repeat("m", 513), 3, invalid, 1, false},
	} {
		before := r.Index()
		result := r.take(modelVersionCommand(step.model, step.version))
		assert.Equal(t, result.GetCode(), step.code, result.GetText())
		assert.Equal(t, r.Index() > before, step.entryNeeded, "%v", step)
		assert.Equal(t, r.Compile().ModelVersion(step.model), step.newest)
	}
	assert.DeepEqual(t, r.ModelVersions(), []config.NamedVersion{
		{Model: "daka510000", Version: 5, Index: 3}, {Model: "not-yet-known", Version: 3, Index: 4},
	})
}

func TestOlderModelVersionEntryHasNoEffect(t *testing.T) {
	r := configured(t)
	assert.Equal(t, r.apply(modelVersionCommand("daka510000", 3)).GetCode(), taken)
	assert.Equal(t, r.apply(modelVersionCommand("daka510000", 2)).GetCode(), taken)
	assert.Equal(t, r.Compile().ModelVersion("daka510000"), uint64(3))
}

func TestNumberOfModelsIsBounded(t *testing.T) {
	r := &replica{State: config.NewState(nil), t: t}
	for i := range 4096 {
		r.mustTake(modelVersionCommand(fmt.Sprint("m", i), 2))
	}
	assert.Equal(t, r.take(modelVersionCommand("one-more", 2)).GetCode(), invalid)
	r.mustTake(modelVersionCommand("m7", 3))
}
