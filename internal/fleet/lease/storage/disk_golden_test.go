package storage_test

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.etcd.io/raft/v3/raftpb"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
	"kestrelspread/internal/fleet/lease/storage"
)

const (
	goldenDisk  = "golden/disk.tar.gz"
	goldenState = "golden/state.txt"
)

// goldenCommands are commands of every kind, as the log holds them.
func goldenCommands() []lease.Command {
	return []lease.Command{
		{Kind: "seat", Token: 7, Target: "v1"},
		{Kind: "define", Role: "statement"},
		{Kind: "define", Role: "stages"},
		{Kind: "grant", Role: "statement", Target: "a#1", ID: "1"},
		{Kind: "progress", Role: "statement", Token: 1, Progress: []byte("upto 5"), ProgressSeq: 2, ID: "2"},
		{Kind: "move", Role: "statement", Token: 1, Target: "b#1"},
		{Kind: "release", Role: "statement", Token: 1},
		{Kind: "grant", Role: "statement", Token: 1, Target: "b#1"},
		{Kind: "expire", Role: "statement", Token: 2},
		{Kind: "spare", Role: "statement", Token: 2, Target: "b#1"},
		{Kind: "grant", Role: "stages", Target: "a#1"},
		{Kind: "force", Role: "stages", Token: 3},
		{Kind: "nothing", Role: "stages"},
	}
}

// goldenText is the log's commands, the result of each, and the snapshot after them.
func goldenText() (text string, snapshot []byte) {
	state := lease.NewState()
	var lines strings.Builder
	for i, command := range goldenCommands() {
		encoded := command.Encode()
		result := state.Apply(uint64(i+1), encoded)
		fmt.Fprintf(&lines, "%s\n  %t %d\n", encoded, result.OK, result.Index)
	}
	fmt.Fprintf(&lines, "%s\n", state.Snapshot())
	return lines.String(), state.Snapshot()
}

// goldenEffects are what a voter saves: a vote, a snapshot, and entries with commands after it.
func goldenEffects(snapshot []byte) (begin consensus.DurableState, effects *consensus.Ready) {
	voters := raftpb.ConfState{Voters: []uint64{7, 8, 9}}
	begin = consensus.DurableState{ID: 7, HardState: raftpb.HardState{Term: 1, Vote: 7, Commit: 1},
		Snapshot: raftpb.Snapshot{Data: lease.NewState().Snapshot(), Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: voters}}}
	effects = &consensus.Ready{Sync: true, HardState: raftpb.HardState{Term: 3, Vote: 8, Commit: 15},
		Snapshot: &raftpb.Snapshot{Data: snapshot, Metadata: raftpb.SnapshotMetadata{Index: 14, Term: 2, ConfState: voters}}}
	for i, command := range goldenCommands()[:4] {
		effects.Entries = append(effects.Entries, raftpb.Entry{Term: 3, Index: uint64(15 + i), Data: command.Encode()})
	}
	return begin, effects
}

// TestStateKeepsItsBytes freezes commands as the log holds them, and the state's snapshot.
func TestStateKeepsItsBytes(t *testing.T) {
	text, _ := goldenText()
	golden.Assert(t, text, goldenState)
}

// TestDiskOfTheGoldenFileIsRead opens a voter's disk as it was left once. The bytes of the embedded store aren't the same in
// each run; what it holds is.
func TestDiskOfTheGoldenFileIsRead(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(string(golden.Get(t, goldenState))), "\n")
	snapshot := lines[len(lines)-1]
	begin, effects := goldenEffects([]byte(snapshot))
	voters := map[uint64]string{7: "v1", 8: "v2", 9: "v3"}
	if golden.FlagUpdate() {
		dir := t.TempDir()
		made, err := storage.Open(vfs.Default, dir, func() uint64 { return 7 })
		assert.NilError(t, err)
		assert.NilError(t, made.JoinGroup(42, voters, begin))
		assert.NilError(t, made.Save(effects))
		assert.NilError(t, made.Close())
		golden.AssertBytes(t, packed(t, dir), goldenDisk)
	}
	dir := t.TempDir()
	unpack(t, golden.Get(t, goldenDisk), dir)
	opened, err := storage.Open(vfs.Default, dir, func() uint64 { t.Fatal("the disk has a number"); return 0 })
	assert.NilError(t, err)
	defer opened.Close()
	assert.Equal(t, fmt.Sprint(opened.VoterID, opened.GroupID, opened.Founders), fmt.Sprint(7, 42, voters))
	assert.DeepEqual(t, opened.Durable.HardState, effects.HardState)
	assert.Equal(t, wire(t, &opened.Durable.Snapshot), wire(t, effects.Snapshot))
	assert.Equal(t, len(opened.Durable.Entries), len(effects.Entries))
	for i := range effects.Entries {
		assert.Equal(t, wire(t, &opened.Durable.Entries[i]), wire(t, &effects.Entries[i]))
	}
	restored := lease.NewState()
	assert.NilError(t, restored.Restore(opened.Durable.Snapshot.Data))
	assert.Equal(t, string(restored.Snapshot()), snapshot)
}

func wire(t *testing.T, message interface{ Marshal() ([]byte, error) }) string {
	t.Helper()
	encoded, err := message.Marshal()
	assert.NilError(t, err)
	return hex.EncodeToString(encoded)
}

// packed is a folder of files as a compressed archive.
func packed(t *testing.T, dir string) []byte {
	t.Helper()
	var archive bytes.Buffer
	compressed := gzip.NewWriter(&archive)
	files := tar.NewWriter(compressed)
	entries, err := os.ReadDir(dir)
	assert.NilError(t, err)
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		assert.NilError(t, err)
		assert.NilError(t, files.WriteHeader(&tar.Header{Name: entry.Name(), Mode: 0o644, Size: int64(len(content))}))
		_, err = files.Write(content)
		assert.NilError(t, err)
	}
	assert.NilError(t, files.Close())
	assert.NilError(t, compressed.Close())
	return archive.Bytes()
}

func unpack(t *testing.T, archive []byte, dir string) {
	t.Helper()
	compressed, err := gzip.NewReader(bytes.NewReader(archive))
	assert.NilError(t, err)
	files := tar.NewReader(compressed)
	for {
		header, err := files.Next()
		if err == io.EOF {
			return
		}
		assert.NilError(t, err)
		content, err := io.ReadAll(files)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, header.Name), content, 0o644))
	}
}
