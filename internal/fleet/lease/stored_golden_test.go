package lease

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	goldenCommands = "golden/commands.txt"
	goldenState    = "golden/state.txt"
)

// goldenLog returns a log with commands of every kind, some of which are rejected.
func goldenLog() []Command {
	return []Command{
		{Kind: CommandNameVoter, Token: 0x1f2e3d4c5b6a7988, Target: "v0"},
		{Kind: CommandDefine, Role: "close", ID: "1f-2-1"},
		{Kind: CommandDefine, Role: "drill/0"},
		{Kind: CommandGrant, Role: "close", Target: "a.1"},
		{Kind: CommandProgress, Role: "close", Token: 1, Progress: []byte(`{"to":5}`), ProgressSeq: 3},
		{Kind: CommandProgress, Role: "close", Token: 1, Progress: []byte("stale"), ProgressSeq: 2},
		{Kind: CommandExpire, Role: "close", Token: 1},
		{Kind: CommandForgive, Role: "close", Token: 1, Target: "a.1"},
		{Kind: CommandGrant, Role: "close", Token: 1, Target: "b.1"},
		{Kind: CommandTransfer, Role: "close", Token: 2, Target: "a.1"},
		{Kind: CommandRelease, Role: "close", Token: 2},
		{Kind: CommandGrant, Role: "close", Token: 2, Target: "b.1"},
		{Kind: CommandGrant, Role: "drill/0", Target: "b.1"},
		{Kind: CommandRevoke, Role: "drill/0", Token: 3, Target: "c.1"},
		{Kind: CommandGrant, Role: "nothing", Token: 3},
		{Kind: "dance", Role: "close"},
	}
}

// TestCommandsKeepTheirBytes checks that the encoding of log entries and the reasons for
// rejections, which operators read, do not change.
func TestCommandsKeepTheirBytes(t *testing.T) {
	var text strings.Builder
	s := NewState()
	for i, c := range goldenLog() {
		r := s.Apply(uint64(i+2), c.Encode())
		fmt.Fprintf(&text, "%s => %v %q %q %d\n", c.Encode(), r.OK, r.Reason, r.CommandID, r.Index)
	}
	golden.Assert(t, text.String(), goldenCommands)
}

// TestStateKeepsItsBytes checks that the encoding of the snapshot does not change, because voters
// store it on disk and send it to each other.
func TestStateKeepsItsBytes(t *testing.T) {
	s := NewState()
	for i, c := range goldenLog() {
		s.Apply(uint64(i+2), c.Encode())
	}
	golden.Assert(t, string(s.Snapshot())+"\n", goldenState)
}

// TestStoredSnapshotIsRestored checks that the snapshot in the golden file, which an earlier build
// wrote, can still be restored.
func TestStoredSnapshotIsRestored(t *testing.T) {
	stored := strings.TrimSpace(string(golden.Get(t, goldenState)))
	s := NewState()
	assert.NilError(t, s.Restore([]byte(stored)))
	assert.Equal(t, string(s.Snapshot()), stored)
	role := s.Roles["close"]
	assert.Equal(t, role.ProgressToken, uint64(1))
	assert.Equal(t, string(role.Progress), `{"to":5}`)
	assert.Equal(t, role.NextHolder, "a.1")
	assert.Equal(t, s.NextToken, uint64(4))
	assert.Equal(t, s.VoterNames[0x1f2e3d4c5b6a7988], "v0")
}
