package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

func drainCommand(subject, kind string, byMs uint64, cancelled bool) *nodepb.Command {
	intent := &nodepb.DrainIntent{Subject: subject, Kind: kind, DeadlineMs: byMs, Cancelled: cancelled}
	return &nodepb.Command{Change: &nodepb.Command_Drain{Drain: intent}}
}

func TestDrainIntentsAreKeptUntilCancelled(t *testing.T) {
	r := newReplica(t)
	for _, step := range []struct {
		command     *nodepb.Command
		code        nodepb.ResultCode
		entryNeeded bool
		left        int
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
		assert.Equal(t, r.Index() > before, step.entryNeeded, "%v", step)
		assert.Equal(t, len(r.DrainIntents()), step.left, "%v", step)
	}
	assert.Equal(t, r.DrainIntents()[0].GetSubject(), "front-1")
}
