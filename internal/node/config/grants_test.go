package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

func grantCommand(holder string, fence uint64, released bool) *nodepb.Command {
	change := &nodepb.LeaseChange{Role: "weights", Holder: holder, FencingToken: fence, Released: released}
	return &nodepb.Command{Change: &nodepb.Command_Lease{Lease: change}}
}

// TestFencesOnlyRiseAndHaveOneHolder. Source: RULES.md, "ONE".
func TestFencesOnlyRiseAndHaveOneHolder(t *testing.T) {
	r := newReplica(t)
	assert.Assert(t, r.Grant("weights") == nil)
	for _, step := range []struct {
		command     *nodepb.Command
		code        nodepb.ResultCode
		entryNeeded bool
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
		assert.Equal(t, r.Index() > before, step.entryNeeded, "%v", step)
	}
	assert.Equal(t, r.Grant("weights").GetHolder(), "b")
	assert.Equal(t, r.Grant("weights").GetFencingToken(), uint64(5))
	assert.Equal(t, len(r.Grants()), 1)
}

// TestGrantOnlyGrowsWithinItsFence: a change that is committed late takes no claimed instance back.
func TestGrantOnlyGrowsWithinItsFence(t *testing.T) {
	grant := func(fence uint64, released bool, targets ...string) *nodepb.Command {
		command := grantCommand("a", fence, released)
		command.GetLease().Claims = targets
		return command
	}
	r := newReplica(t)
	for _, step := range []struct {
		command     *nodepb.Command
		code        nodepb.ResultCode
		entryNeeded bool
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
		assert.Equal(t, r.Index() > before, step.entryNeeded, "%v", step)
	}
	last := grant(7, false, "i-9")
	last.GetLease().InheritedClaims = []string{"i-8"}
	r.mustTake(last)
	restored := newReplica(t)
	assert.NilError(t, restored.Restore(r.Snapshot()))
	assert.DeepEqual(t, restored.Grant("weights").GetClaims(), []string{"i-9"})
	assert.DeepEqual(t, restored.Grant("weights").GetInheritedClaims(), []string{"i-8"})
}
