package storage

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"go.etcd.io/raft/v3/raftpb"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/disk"
	"kestrelspread/internal/fleet/lease/consensus"
)

const goldenStore = "golden/store.txt"

// goldenDurable is what a founder begins with.
func goldenDurable() consensus.DurableState {
	durable := consensus.Bootstrap(7, 8, 9)[0]
	durable.Snapshot.Data = []byte(`{"next":1}`)
	return durable
}

// dump lists all keys and values of a store.
func dump(t *testing.T, db *disk.DB) string {
	t.Helper()
	it, err := db.NewIter(nil)
	assert.NilError(t, err)
	defer it.Close()
	var text strings.Builder
	for it.First(); it.Valid(); it.Next() {
		fmt.Fprintf(&text, "%q %s\n", it.Key(), hex.EncodeToString(it.Value()))
	}
	return text.String()
}

// TestStoreKeepsItsBytes freezes the records of a voter's disk: its identity, hard state, snapshot
// and log.
func TestStoreKeepsItsBytes(t *testing.T) {
	s := open(t, vfs.NewMem())
	defer s.Close()
	assert.NilError(t, s.JoinGroup(0xabcdef, map[uint64]string{7: "v0", 8: "v1", 9: "v2"}, goldenDurable()))
	ready := &consensus.Ready{Sync: true, HardState: raftpb.HardState{Term: 3, Vote: 8, Commit: 4}}
	for index := uint64(2); index <= 5; index++ {
		ready.Entries = append(ready.Entries, raftpb.Entry{Term: 3, Index: index, Data: []byte(fmt.Sprint("command ", index))})
	}
	assert.NilError(t, s.Save(ready))
	snapshot := raftpb.Snapshot{Data: []byte(`{"next":2}`), Metadata: raftpb.SnapshotMetadata{Index: 3, Term: 3, ConfState: raftpb.ConfState{Voters: []uint64{7, 8, 9}}}}
	assert.NilError(t, s.SaveSnapshot(&snapshot))
	golden.Assert(t, dump(t, s.db), goldenStore)
}

// TestStoreOfTheGoldenFileIsRead opens a voter's disk as it was written once.
func TestStoreOfTheGoldenFileIsRead(t *testing.T) {
	fs := vfs.NewMem()
	db, err := disk.Open(fs, "voter", memTableBytes)
	assert.NilError(t, err)
	for line := range strings.Lines(string(golden.Get(t, goldenStore))) {
		var key, digits string
		_, err := fmt.Sscanf(line, "%q %s\n", &key, &digits)
		assert.NilError(t, err)
		value, err := hex.DecodeString(digits)
		assert.NilError(t, err)
		assert.NilError(t, db.Set([]byte(key), value, pebble.Sync))
	}
	assert.NilError(t, db.Close())

	s := open(t, fs)
	defer s.Close()
	assert.Equal(t, s.VoterID, uint64(7))
	assert.Equal(t, s.GroupID, uint64(0xabcdef))
	assert.DeepEqual(t, s.Founders, map[uint64]string{7: "v0", 8: "v1", 9: "v2"})
	assert.Equal(t, s.Durable.ID, uint64(7))
	assert.Equal(t, s.Durable.HardState.String(), (&raftpb.HardState{Term: 3, Vote: 8, Commit: 4}).String())
	assert.Equal(t, string(s.Durable.Snapshot.Data), `{"next":2}`)
	assert.Equal(t, s.Durable.Snapshot.Metadata.Index, uint64(3))
	assert.Equal(t, len(s.Durable.Entries), 2)
	assert.Equal(t, string(s.Durable.Entries[1].Data), "command 5")
}
