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
	s, err := Open(fs, "voter", func() uint64 { return 7 })
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func save(t *testing.T, s *Store, term uint64, from, to uint64) {
	t.Helper()
	e := &consensus.Ready{Sync: true}
	for i := from; i <= to; i++ {
		e.Entries = append(e.Entries, raftpb.Entry{Term: term, Index: i, Data: []byte(fmt.Sprint("command ", i, " of term ", term))})
	}
	if err := s.Save(e); err != nil {
		t.Fatal(err)
	}
}

// reopen closes and opens the disk, and returns the snapshot's index with the terms of the entries
// after it.
func reopen(t *testing.T, fs vfs.FS, s *Store) (*Store, string) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, fs)
	terms := ""
	for _, e := range s.Durable.Entries {
		terms += fmt.Sprint(e.Term)
	}
	return s, fmt.Sprint(s.Durable.Snapshot.Metadata.Index, " ", terms)
}

// What a former leader left at the end of the log is removed where the next one's entries replace
// it, also after a restart, and none of it comes back.
func TestFormerLeadersEntriesAreRemoved(t *testing.T) {
	fs := vfs.NewMem()
	s := open(t, fs)
	if err := s.JoinGroup(9, map[uint64]string{7: "v"}, consensus.DurableState{ID: 7, Snapshot: raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1}}}); err != nil {
		t.Fatal(err)
	}
	save(t, s, 1, 2, 9)
	save(t, s, 2, 5, 6) // 7 to 9 were never committed
	s, got := reopen(t, fs, s)
	if got != "1 11122" {
		t.Fatal(got)
	}
	save(t, s, 3, 4, 4) // their end is known from the disk: 5 and 6 go
	s, got = reopen(t, fs, s)
	if got != "1 113" {
		t.Fatal(got)
	}
	save(t, s, 3, 5, 12)
	for _, at := range []uint64{4, 8} {
		if err := s.SaveSnapshot(&raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: at, Term: 3}}); err != nil {
			t.Fatal(err)
		}
	}
	s, got = reopen(t, fs, s)
	if got != "8 3333" {
		t.Fatal(got)
	}
	if err := s.Save(&consensus.Ready{Sync: true, Snapshot: &raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 20, Term: 4}}}); err != nil {
		t.Fatal(err)
	}
	save(t, s, 4, 21, 22)
	if s, got = reopen(t, fs, s); got != "20 44" {
		t.Fatal(got)
	}
	s.Close()
}

// A long log of single writes costs what as many plain writes cost. When each write removed a range
// to the end of the log, 5,000 of them took a hundred times as long once the store's table was
// full, and every voter stalled for seconds at once.
func TestLongLogIsWrittenWithoutStall(t *testing.T) {
	const writes = 5000
	s := open(t, vfs.NewMem())
	defer s.Close()
	begin := time.Now()
	for i := range uint64(writes) {
		save(t, s, 1, i+2, i+2)
	}
	s.db.Flush()
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
	if n := s.db.Metrics().Keys.TombstoneCount; n > writes/100 {
		t.Errorf("%d removals for a log that only grew", n)
	}
}
