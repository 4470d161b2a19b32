package sink

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/store"
	"kestrelspread/internal/standin/receiver"
)

func appendEntries(t *testing.T, s *store.Store, n int) {
	var list []*ledger.Entry
	for i := range n {
		list = append(list, &ledger.Entry{Instance: "n0", Epoch: s.Epoch, Sequence: s.Ledger.NextSequence + uint64(i), Kind: ledger.Use,
			Key: ledger.Key{Customer: fmt.Sprint("c", i)}, Counts: ledger.Counts{1}})
	}
	if err := s.Commit(list, 1); err != nil {
		t.Fatal(err)
	}
}

func TestFaultyReceiverGetsEachEntryOnce(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 4))
		r := receiver.New()
		fs := vfs.NewCrashableMem()
		s, err := store.Open(fs, "ledger", "n0", time.Now())
		if err != nil {
			t.Fatal(err)
		}
		failed := 0
		for range 6 {
			appendEntries(t, s, 1+rng.IntN(20))
			for range rng.IntN(4) {
				r.QueueModes(receiver.Mode(rng.IntN(5)))
			}
			x, err := NewExporter(s, "http", NewHTTP(r.URL), 1+rng.IntN(9), 0)
			if err != nil {
				t.Fatal(err)
			}
			x.OnFailure = func(error) { failed++ }
			for range rng.IntN(12) {
				x.Step()
			}
			if rng.IntN(2) == 0 { // killed between any two steps
				fs = fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rng.IntN(101), RNG: rng})
				s.Close()
				if s, err = store.Open(fs, "ledger", "n0", time.Now()); err != nil {
					t.Fatal(err)
				}
			}
		}
		r.QueueModes()
		x, err := NewExporter(s, "http", NewHTTP(r.URL), 5, 0)
		if err != nil {
			t.Fatal(err)
		}
		for range 300 {
			x.Step()
		}
		lines := r.Lines()
		if uint64(len(lines)) != s.LastSequence() {
			t.Fatalf("seed %d: %d records of %d; %v", seed, len(lines), s.LastSequence(), r)
		}
		for i, line := range lines {
			var row Row
			if json.Unmarshal([]byte(line), &row); row.Sequence != uint64(i+1) || row.Epoch != s.Epoch {
				t.Fatalf("seed %d: record %d is %s", seed, i, line)
			}
		}
		s.Close()
		r.Close()
	}
}

func TestUnwritableDirectoryIsRetried(t *testing.T) {
	dir := t.TempDir()
	f, err := OpenDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	f.Path = dir + "/gone"
	s, err := store.Open(vfs.NewMem(), "ledger", "n0", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	appendEntries(t, s, 10)
	x, err := NewExporter(s, "folder", f, 4, 1000)
	if err != nil {
		t.Fatal(err)
	}
	failed := 0
	x.OnFailure = func(error) { failed++ }
	for range 5 {
		if _, again := x.Step(); failed > 0 && again != 1000 {
			t.Error("tried again after", again)
		}
	}
	if failed != 1 || x.machine.Cursor().Sequence != 0 {
		t.Error(failed, x.machine.Cursor())
	}
	f.Path = dir
	for range 20 {
		x.Step()
	}
	if again, _ := OpenDirectory(dir); x.machine.Cursor().Sequence != 10 || len(again.batches) != 3 {
		t.Error(x.machine.Cursor(), len(again.batches))
	}
}
