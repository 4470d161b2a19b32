package store_test

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/disk"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/export"
	"kestrelspread/internal/ledger/store"
)

const (
	goldenEntries    = "golden/entries.txt"
	goldenCheckpoint = "golden/book.json"
	goldenStore      = "golden/store.tar.gz"
	goldenHour       = int64(3600e3)
)

// goldenV1 is an entry in the first form, as older programs wrote it.
const goldenV1 = `{"Instance":"n0","Epoch":7,"Seq":3,"Sort":2,"Period":360000000,"At":360000500,"Key":{"Customer":"bulk","Kind":"once","Front":1,"Outcome":2},` +
	`"Counts":[1,2,3,4,5,6,7,8,9,10],"ID":"c-1","Author":"ops","Reason":"twice","Refers":356400000,"Entries":0,"Hash":0}`

// goldenLedger has entries of every sort: two uses, a correction, and the close that the ledger itself writes.
func goldenLedger(t *testing.T, epoch uint64) ([]*ledger.Entry, *ledger.Ledger) {
	t.Helper()
	state := ledger.New("n0", epoch)
	counts := ledger.Counts{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	entries := []*ledger.Entry{
		{Instance: "n0", Epoch: epoch, Sequence: 1, Kind: ledger.Use, Period: 100 * goldenHour, RecordedAt: 100*goldenHour + 10,
			Key: ledger.Key{Customer: "bulk", QueryType: "once", Front: ledger.GRPC, Outcome: ledger.Shed}, Counts: counts},
		{Instance: "n0", Epoch: epoch, Sequence: 2, Kind: ledger.Use, Period: 100 * goldenHour, RecordedAt: 100*goldenHour + 20,
			Key: ledger.Key{Customer: "desk", QueryType: "quick", Front: ledger.HTTP, Outcome: ledger.Answered}, Counts: counts},
		{Instance: "n0", Epoch: epoch, Sequence: 3, Kind: ledger.Correction, Period: 100 * goldenHour, RecordedAt: 100*goldenHour + 30,
			Key: ledger.Key{Customer: "bulk", QueryType: "once", Front: ledger.GRPC, Outcome: ledger.Shed}, Counts: counts.Negated(),
			CorrectionID: "c-1", Author: "ops", Reason: "twice \u00e9", Reference: "bill 9", CorrectedPeriod: 99 * goldenHour, NegativeAllowed: true},
	}
	for _, entry := range entries {
		assert.NilError(t, state.Apply(entry))
	}
	calendar := &ledger.Calendar{Zone: time.UTC, Unit: ledger.Hourly, Hours: 1, GraceMs: 60e3}
	closing := state.CloseEntries(calendar, 102*goldenHour)
	assert.Equal(t, len(closing), 2) // the correction's own period, and the one that it refers to
	for _, entry := range closing {
		assert.NilError(t, state.Apply(entry))
	}
	return append(entries, closing...), state
}

// TestEntriesKeepTheirBytes freezes the records of entries, a checkpoint of the ledger, and a sink's state.
func TestEntriesKeepTheirBytes(t *testing.T) {
	entries, state := goldenLedger(t, 7)
	var text strings.Builder
	for _, entry := range entries {
		fmt.Fprintln(&text, hex.EncodeToString(store.Encode(entry)))
	}
	fmt.Fprintln(&text, hex.EncodeToString(disk.Seal(1, 'e', []byte(goldenV1))))
	exported, err := json.Marshal(store.ExportState{Cursor: export.Cursor{Sequence: 3, Batch: 2}, Intent: &export.Intent{Batch: 3, From: 4, To: 9, Hash: 1 << 63}})
	assert.NilError(t, err)
	fmt.Fprintln(&text, string(exported))
	identity, err := json.Marshal(store.Identity{Instance: "n0", Epoch: 7, CreatedAt: 5})
	assert.NilError(t, err)
	fmt.Fprintln(&text, string(identity))
	golden.Assert(t, text.String(), goldenEntries)
	snapshot, err := state.Snapshot()
	assert.NilError(t, err)
	golden.Assert(t, string(snapshot)+"\n", goldenCheckpoint)
}

// TestEntriesOfTheGoldenFileAreRead reads them as they were written once.
func TestEntriesOfTheGoldenFileAreRead(t *testing.T) {
	want, state := goldenLedger(t, 7)
	lines := strings.Split(strings.TrimSpace(string(golden.Get(t, goldenEntries))), "\n")
	assert.Equal(t, len(lines), len(want)+3)
	for i, line := range lines[:len(want)+1] {
		record, err := hex.DecodeString(line)
		assert.NilError(t, err)
		entry, err := store.Decode(record)
		assert.NilError(t, err)
		if i < len(want) {
			assert.DeepEqual(t, entry, want[i])
			continue
		}
		assert.Equal(t, entry.Reference, "before version 2")
		assert.Equal(t, fmt.Sprint(*entry), "{n0 7 3 correction 360000000 360000500 {bulk once grpc shed} [1 2 3 4 5 6 7 8 9 10] c-1 ops twice before version 2 356400000 false 0 0}")
	}
	var exported store.ExportState
	assert.NilError(t, json.Unmarshal([]byte(lines[len(want)+1]), &exported))
	assert.Equal(t, fmt.Sprint(exported.Cursor, *exported.Intent), fmt.Sprintf("{3 2} {3 4 9 %d}", uint64(1<<63)))

	restored := ledger.New("n0", 7)
	written := strings.TrimSpace(string(golden.Get(t, goldenCheckpoint)))
	assert.NilError(t, restored.Restore([]byte(written)))
	snapshot, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(snapshot), written)
	assert.DeepEqual(t, restored.TotalUse(), state.TotalUse())
}

// TestStoreOfTheGoldenFileIsRead opens a store as it was left on a disk once: entries after a checkpoint, and a sink's
// state. The bytes of the embedded store aren't the same in each run; what it holds is.
func TestStoreOfTheGoldenFileIsRead(t *testing.T) {
	if golden.FlagUpdate() {
		dir := t.TempDir()
		made, err := store.Open(vfs.Default, dir, "n0", time.UnixMilli(100*goldenHour))
		assert.NilError(t, err)
		entries, _ := goldenLedger(t, made.Epoch)
		assert.NilError(t, made.Commit(entries[:2], entries[1].RecordedAt))
		assert.NilError(t, made.Checkpoint(0))
		assert.NilError(t, made.Commit(entries[2:], entries[len(entries)-1].RecordedAt))
		assert.NilError(t, made.SaveExport("folder", store.ExportState{Cursor: export.Cursor{Sequence: 2, Batch: 1}, Intent: &export.Intent{Batch: 2, From: 3, To: 4, Hash: 77}}))
		assert.NilError(t, made.Close())
		golden.AssertBytes(t, packed(t, dir), goldenStore)
	}
	dir := t.TempDir()
	unpack(t, golden.Get(t, goldenStore), dir)
	opened, err := store.Open(vfs.Default, dir, "n0", time.UnixMilli(500*goldenHour))
	assert.NilError(t, err)
	defer opened.Close()
	assert.NilError(t, opened.Verify())
	want, state := goldenLedger(t, opened.Epoch)
	var got []*ledger.Entry
	assert.NilError(t, opened.EachEntry(1, func(entry *ledger.Entry) error {
		got = append(got, entry)
		return nil
	}))
	assert.DeepEqual(t, got, want)
	assert.DeepEqual(t, opened.Ledger.TotalUse(), state.TotalUse())
	assert.Equal(t, opened.CreatedAt, 100*goldenHour)
	assert.Equal(t, opened.HighestTime, want[len(want)-1].RecordedAt)
	exported, err := opened.LoadExport("folder")
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(exported.Cursor, *exported.Intent), "{2 1} {2 3 4 77}")
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
