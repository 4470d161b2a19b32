package storage

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease/consensus"
)

func open(t *testing.T, fs vfs.FS) *Store {
	t.Helper()
	k, err := Open(fs, "voter", func() uint64 { return 7 })
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func save(t *testing.T, k *Store, term uint64, from, to uint64) {
	t.Helper()
	e := &consensus.Ready{Sync: true}
	for i := from; i <= to; i++ {
		e.Entries = append(e.Entries, raftpb.Entry{Term: term, Index: i, Data: []byte(fmt.Sprint("command ", i, " of term ", term))})
	}
	if err := k.Save(e); err != nil {
		t.Fatal(err)
	}
}

// reopen closes and opens the disk, and gives the terms of its entries from the first on.
func reopen(t *testing.T, fs vfs.FS, k *Store) (*Store, string) {
	t.Helper()
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	k = open(t, fs)
	terms := ""
	for _, e := range k.Durable.Entries {
		terms += fmt.Sprint(e.Term)
	}
	return k, fmt.Sprint(k.Durable.Snapshot.Metadata.Index, " ", terms)
}

// What a former leader left at the end of the log is gone where the next one's entries go over it, also after a restart, and
// none of it comes back.
func TestFormerLeadersEntriesAreRemoved(t *testing.T) {
	fs := vfs.NewMem()
	k := open(t, fs)
	if err := k.JoinGroup(9, map[uint64]string{7: "v"}, consensus.DurableState{ID: 7, Snapshot: raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1}}}); err != nil {
		t.Fatal(err)
	}
	save(t, k, 1, 2, 9)
	save(t, k, 2, 5, 6) // 7 to 9 were never agreed on
	k, got := reopen(t, fs, k)
	if got != "1 11122" {
		t.Fatal(got)
	}
	save(t, k, 3, 4, 4) // known from the disk: 5 and 6 go
	k, got = reopen(t, fs, k)
	if got != "1 113" {
		t.Fatal(got)
	}
	save(t, k, 3, 5, 12)
	for _, at := range []uint64{4, 8} {
		if err := k.SaveSnapshot(&raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: at, Term: 3}}); err != nil {
			t.Fatal(err)
		}
	}
	k, got = reopen(t, fs, k)
	if got != "8 3333" {
		t.Fatal(got)
	}
	if err := k.Save(&consensus.Ready{Sync: true, Snapshot: &raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 20, Term: 4}}}); err != nil {
		t.Fatal(err)
	}
	save(t, k, 4, 21, 22)
	if k, got = reopen(t, fs, k); got != "20 44" {
		t.Fatal(got)
	}
	k.Close()
}

// A long log of single writes costs what as many plain writes cost. Where each write removed a range to the end of the log, 5,000
// of them took a hundred times as long once the store's table was full, and every voter stood still for seconds at once.
func TestLongLogIsWrittenWithoutStall(t *testing.T) {
	const writes = 5000
	k := open(t, vfs.NewMem())
	defer k.Close()
	begin := time.Now()
	for i := range uint64(writes) {
		save(t, k, 1, i+2, i+2)
	}
	k.db.Flush()
	logged := time.Since(begin)
	plain := open(t, vfs.NewMem())
	defer plain.Close()
	begin = time.Now()
	value := make([]byte, 60)
	for i := range uint64(writes) {
		if err := plain.db.Set(entryKey(i), value, pebble.Sync); err != nil {
			t.Fatal(err)
		}
	}
	plain.db.Flush()
	if took := time.Since(begin); logged > 20*took {
		t.Errorf("%v for %d entries, %v for as many plain writes", logged, writes, took)
	} else {
		t.Logf("%v for %d entries, %v for as many plain writes", logged, writes, took)
	}
	if n := k.db.Metrics().Keys.TombstoneCount; n > writes/100 {
		t.Errorf("%d removals for a log that only grew", n)
	}
}
