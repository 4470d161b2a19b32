package collector

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/rs/zerolog"

	"kestrelspread/internal/fleet/lease/client"
	"kestrelspread/internal/fleet/lease/fence/dir"
	"kestrelspread/internal/fleet/statement"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/sink"
	"kestrelspread/internal/ledger/store"
	"kestrelspread/internal/standin/singlevoter"
)

// exportInstance writes a ledger with some closed periods, of three entries each, and exports it to the directory name in dir.
func exportInstance(t *testing.T, dir, name string, periods int) {
	t.Helper()
	s, err := store.Open(vfs.NewMem(), "ledger", name, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for p := range periods {
		start := int64(p+1) * 3600e3
		k := ledger.Key{Customer: "desk", QueryType: "quick"}
		for range 3 {
			e := &ledger.Entry{Instance: name, Epoch: s.Epoch, Sequence: s.Ledger.NextSequence, Kind: ledger.Use,
				Period: start, RecordedAt: start + 5, Key: k, Counts: ledger.Counts{2, 4}}
			if err := s.Commit([]*ledger.Entry{e}, e.RecordedAt); err != nil {
				t.Fatal(err)
			}
		}
		at := s.Ledger.Period(start)
		e := &ledger.Entry{Instance: name, Epoch: s.Epoch, Sequence: s.Ledger.NextSequence, Kind: ledger.Close,
			Period: start, RecordedAt: start + 3700e3, Counts: at.Total,
			SealedEntries: at.Entries, SealedHash: at.Hash}
		if err := s.Commit([]*ledger.Entry{e}, e.RecordedAt); err != nil {
			t.Fatal(err)
		}
	}
	to, err := sink.OpenDirectory(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	x, err := sink.NewExporter(s, "folder", to, 5, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		x.Step()
	}
}

// readStatements returns the statements that the fenced directory has accepted.
func readStatements(t *testing.T, directory string) (list []statement.Statement) {
	t.Helper()
	versions, err := fencedir.ReadVersions(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range versions {
		var s statement.Statement
		if json.Unmarshal(v.Body, &s) == nil && !v.TokenOnly {
			list = append(list, s)
		}
	}
	return list
}

// waitFor waits until ok returns true. It fails the test after 20 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// TestPeriodsAreClosedOnceAcrossHolders checks that each period's statement is published once if the holder of the role changes. With one
// voter, a first client publishes some statements and is closed, and a second one continues from there.
func TestPeriodsAreClosedOnceAcrossHolders(t *testing.T) {
	dir, out := t.TempDir(), t.TempDir()
	for i := range 3 {
		exportInstance(t, dir, fmt.Sprint("n", i), 6)
	}
	voter, voters, rules := singlevoter.Start(t, 400)
	start := func(name string) *client.Client {
		job := func() client.Job {
			to, err := fencedir.Open(out)
			if err != nil {
				t.Error(err)
			}
			return &Job{Directories: []string{filepath.Join(dir, "*")},
				Config:   statement.Config{ExpectedInstances: []string{"n0", "n1", "n2", "n3"}, WaitMs: 1000},
				Receiver: to,
				Interval: 10 * time.Millisecond, Log: zerolog.Nop(), WallClockMs: func() int64 { return time.Now().UnixMilli() }}
		}
		n, err := client.New(client.Options{Name: name, Voters: voters, Config: rules,
			Jobs: map[string]func() client.Job{"close": job}, Log: zerolog.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		n.Start()
		return n
	}
	statements := func() []statement.Statement { return readStatements(t, out) }
	first := start("a.1")
	waitFor(t, "the first statement", func() bool { return len(statements()) > 0 })
	first.Close(time.Second) // hands the role over between two steps, at an arbitrary point of the work
	second := start("b.1")
	defer second.Close(time.Second)
	waitFor(t, "all six statements", func() bool { return len(statements()) == 6 })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	waitFor(t, "the voter to store the progress", func() bool {
		view, err := voter.Status(ctx)
		if err != nil || len(view.Roles) != 1 {
			return false
		}
		progress, _ := statement.ParseProgress(view.Roles[0].Progress)
		return progress.PublishedUpTo == 6*3600e3 && progress.Intent == nil
	})
	for i, s := range statements() {
		if s.Period != int64(i+1)*3600e3 || len(s.Parts) != 3 || len(s.MissingInstances) != 1 ||
			len(s.Totals) != 1 || s.Totals[0].Counts["searches"] != 18 {
			t.Fatalf("statement %d is %+v, want that of period %d, with 3 parts, 1 missing instance and 18 searches", i, s, int64(i+1)*3600e3)
		}
	}
}
