package sink_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/parquet-go/parquet-go"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/export"
	"kestrelspread/internal/ledger/sink"
)

const (
	goldenText    = "golden/files.txt"
	goldenColumns = "golden/batch.parquet"
)

var goldenIntent = export.Intent{Batch: 3, From: 4, To: 5, Hash: 1<<63 + 9}

func goldenEntries() []*ledger.Entry {
	counts := ledger.Counts{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	return []*ledger.Entry{
		{Instance: "n0", Epoch: 7, Sequence: 4, Kind: ledger.Use, Period: 360000000, RecordedAt: 360000010,
			Key: ledger.Key{Customer: "bulk", QueryType: "once", Front: ledger.GRPC, Outcome: ledger.Partial}, Counts: counts},
		{Instance: "n0", Epoch: 7, Sequence: 5, Kind: ledger.Correction, Period: 360000000, RecordedAt: 360000030,
			Key: ledger.Key{Customer: "desk", QueryType: "quick"}, Counts: counts.Negated(),
			CorrectionID: "c-1", Author: "ops", Reason: "twice", Reference: "bill 9", CorrectedPeriod: 356400000, NegativeAllowed: true},
	}
}

// TestFilesKeepTheirForm freezes the names of a batch's files, the manifest, the JSON lines, and the Parquet schema and rows.
func TestFilesKeepTheirForm(t *testing.T) {
	dir := t.TempDir()
	directory, err := sink.OpenDirectory(dir)
	assert.NilError(t, err)
	_, _, _, err = directory.Put("n0", 7, goldenIntent, goldenEntries())
	assert.NilError(t, err)
	entries, err := os.ReadDir(dir)
	assert.NilError(t, err)
	var text strings.Builder
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		assert.NilError(t, err)
		fmt.Fprintf(&text, "file %s\n", entry.Name())
		if !strings.HasSuffix(entry.Name(), ".parquet") {
			text.Write(content)
			continue
		}
		text.WriteString(columnsText(t, content))
		if golden.FlagUpdate() {
			golden.AssertBytes(t, content, goldenColumns)
		}
	}
	golden.Assert(t, text.String(), goldenText)

	// The file as it was written once holds the same columns and rows.
	assert.Equal(t, columnsText(t, golden.Get(t, goldenColumns)), columnsText(t, contentOf(t, dir, ".parquet")))
}

// TestManifestOfTheGoldenFileIsRead offers a batch again to a directory as it was left once: it has it.
func TestManifestOfTheGoldenFileIsRead(t *testing.T) {
	dir := t.TempDir()
	_, rest, found := strings.Cut(string(golden.Get(t, goldenText)), "file manifest.jsonl\n")
	assert.Assert(t, found)
	manifest, _, _ := strings.Cut(rest, "file ")
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "manifest.jsonl"), []byte(manifest), 0o644))
	directory, err := sink.OpenDirectory(dir)
	assert.NilError(t, err)
	batch, hash, written, err := directory.Put("n0", 7, goldenIntent, goldenEntries())
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(batch, hash, written), fmt.Sprint(uint64(3), uint64(1<<63+9), 0))
}

func contentOf(t *testing.T, dir, suffix string) []byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*"+suffix))
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 1)
	content, err := os.ReadFile(paths[0])
	assert.NilError(t, err)
	return content
}

// columnsText shows the schema and the rows of a Parquet file, as the file has them.
func columnsText(t *testing.T, content []byte) string {
	t.Helper()
	file, err := parquet.OpenFile(bytes.NewReader(content), int64(len(content)))
	assert.NilError(t, err)
	var text strings.Builder
	fmt.Fprintln(&text, file.Schema())
	rows := file.RowGroups()[0].Rows()
	defer rows.Close()
	read := make([]parquet.Row, 8)
	count, _ := rows.ReadRows(read)
	for _, row := range read[:count] {
		for _, value := range row {
			fmt.Fprintf(&text, "%d=%s|", value.Column(), value)
		}
		text.WriteString("\n")
	}
	return text.String()
}
