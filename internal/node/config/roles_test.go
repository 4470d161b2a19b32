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

func grantCommand(holder string, fence uint64, released bool) *nodepb.Command {
	change := &nodepb.DutyChange{Duty: "weights", Holder: holder, Fence: fence, Released: released}
	return &nodepb.Command{Change: &nodepb.Command_Duty{Duty: change}}
}

// Source: RULES.md, "ONE": no two holders share a fence, and none goes down.
func TestFencesOnlyRiseAndHaveOneHolder(t *testing.T) {
	r := newReplica(t)
	assert.Assert(t, r.Grant("weights") == nil)
	for _, step := range []struct {
		command *nodepb.Command
		code    nodepb.ResultCode
		entry   bool
	}{
		{grantCommand("a", 4, false), taken, true},
		{grantCommand("a", 4, false), taken, false},
		{grantCommand("b", 4, false), conflict, false},
		{grantCommand("b", 3, false), conflict, false},
		{grantCommand("a", 3, true), conflict, false},
		{grantCommand("a", 4, true), taken, true},
		{grantCommand("b", 4, false), conflict, false},
		{grantCommand("a", 4, false), taken, true},
		{grantCommand("b", 5, false), taken, true},
		{grantCommand("a", 4, true), conflict, false},
		{grantCommand("", 6, false), invalid, false},
	} {
		before := r.Index()
		assert.Equal(t, r.take(step.command).GetCode(), step.code, "%v", step)
		assert.Equal(t, r.Index() > before, step.entry, "%v", step)
	}
	assert.Equal(t, r.Grant("weights").GetHolder(), "b")
	assert.Equal(t, r.Grant("weights").GetFence(), uint64(5))
	assert.Equal(t, len(r.Grants()), 1)
}

// A grant names what its holder may act on; within a fence it only grows, so that a change that comes late takes nothing back.
func TestGrantOnlyGrowsWithinItsFence(t *testing.T) {
	grant := func(fence uint64, released bool, targets ...string) *nodepb.Command {
		command := grantCommand("a", fence, released)
		command.GetDuty().Targets = targets
		return command
	}
	r := newReplica(t)
	for _, step := range []struct {
		command *nodepb.Command
		code    nodepb.ResultCode
		entry   bool
	}{
		{grant(4, false, "i-1"), taken, true},
		{grant(4, false, "i-1", "i-2"), taken, true},
		{grant(4, false, "i-1", "i-2"), taken, false},
		{grant(4, false, "i-1"), conflict, false},
		{grant(4, false, "i-3", "i-2"), conflict, false},
		{grant(4, false, "i-1", ""), invalid, false},
		{grant(4, false, "i-2", "i-3", "i-1"), taken, true},
		{grant(4, true), taken, true},
		{grant(5, false, "i-9"), taken, true},
		{grant(6, false, "i-9", "i-8"), taken, true},
		{grant(5, false, make([]string, 8193)...), invalid, false},
	} {
		before := r.Index()
		assert.Equal(t, r.take(step.command).GetCode(), step.code, "%v", step)
		assert.Equal(t, r.Index() > before, step.entry, "%v", step)
	}
	last := grant(7, false, "i-9")
	last.GetDuty().Former = []string{"i-8"}
	r.mustTake(last)
	restored := newReplica(t)
	assert.NilError(t, restored.Restore(r.Snapshot()))
	assert.DeepEqual(t, restored.Grant("weights").GetTargets(), []string{"i-9"})
	assert.DeepEqual(t, restored.Grant("weights").GetFormer(), []string{"i-8"})
}

func drainCommand(subject, kind string, byMs uint64, cancelled bool) *nodepb.Command {
	intent := &nodepb.DrainIntent{Subject: subject, Kind: kind, ByMs: byMs, Cancelled: cancelled}
	return &nodepb.Command{Change: &nodepb.Command_Drain{Drain: intent}}
}

func TestDrainIntentsAreKeptUntilCancelled(t *testing.T) {
	r := newReplica(t)
	for _, step := range []struct {
		command *nodepb.Command
		code    nodepb.ResultCode
		entry   bool
		left    int
	}{
		{drainCommand("zone-b", "zone", 0, false), taken, true, 1},
		{drainCommand("zone-b", "zone", 0, false), taken, false, 1},
		{drainCommand("zone-b", "zone", 500, false), taken, true, 1},
		{drainCommand("front-1", "node", 0, false), taken, true, 2},
		{drainCommand("zone-b", "node", 0, true), taken, false, 2},
		{drainCommand("zone-b", "zone", 0, true), taken, true, 1},
		{drainCommand("zone-b", "zone", 0, true), taken, false, 1},
		{drainCommand("", "zone", 0, false), invalid, false, 1},
		{drainCommand("x", strings.Repeat("k", 513), 0, false), invalid, false, 1},
	} {
		before := r.Index()
		assert.Equal(t, r.take(step.command).GetCode(), step.code, "%v", step)
		assert.Equal(t, r.Index() > before, step.entry, "%v", step)
		assert.Equal(t, len(r.DrainIntents()), step.left, "%v", step)
	}
	assert.Equal(t, r.DrainIntents()[0].GetSubject(), "front-1")
}
