package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/store"
)

func TestLedgerCommandsReadCorrectAndClose(t *testing.T) {
	directory := filepath.Join(t.TempDir(), "ledger")
	s, err := store.Open(vfs.Default, directory, "n0", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	day := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	if err := s.Commit([]*ledger.Entry{{Instance: "n0", Epoch: s.Epoch, Sequence: 1, Kind: ledger.Use, Period: day.UnixMilli(),
		Key: ledger.Key{Customer: "desk", QueryType: "quick"}, Counts: ledger.Counts{10, 20}}}, day.UnixMilli()); err != nil {
		t.Fatal(err)
	}
	s.Close()
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		c := command()
		c.SetOut(&out)
		c.SetArgs(append([]string{"ledger"}, append(args, "--folder", directory)...))
		err := c.Execute()
		return out.String(), err
	}
	want := func(part string, args ...string) {
		t.Helper()
		if out, err := run(args...); err != nil || !strings.Contains(out, part) {
			t.Errorf("%v: %v\n%s\nwant %s", args, err, out, part)
		}
	}
	refused := func(part string, args ...string) {
		t.Helper()
		if out, err := run(args...); err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%v: %v\n%s\nwant an error with %s", args, err, out, part)
		}
	}
	calendar := []string{"--every", "day", "--zone", "UTC"}
	fix := append([]string{"correct", "--author", "x", "--reason", "twice", "--reference", "bill 7", "--period", "2026-03-01T12:00:00Z",
		"--customer", "desk", "--query-type", "quick"}, calendar...)
	want("desk", "totals")
	want("1 periods closed", append([]string{"close"}, calendar...)...)
	want("0 periods closed", append([]string{"close"}, calendar...)...)
	want("known before: false", append(fix, "--key", "k1", "--add", "searches=-3")...)
	want("known before: true", append(fix, "--key", "k1", "--add", "searches=-3")...)
	refused("another correction", append(fix, "--key", "k1", "--add", "searches=-4")...)
	refused("below 0", append(fix, "--key", "k2", "--add", "searches=-8")...)
	refused("nothing is called", append(fix, "--key", "k2", "--add", "sarches=1")...)
	want(`"corrected":[-3,`, "totals", "--json")
	want("known before: false", append([]string{"correct", "--author", "x", "--reason", "was right", "--reference", "k1", "--key", "k3", "--of", "k1"}, calendar...)...)
	want(`"corrected":[0,`, "totals", "--json")
	want("sound", "verify")
	want(`"Reason":"twice"`, "show")
}
