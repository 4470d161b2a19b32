package chain_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/journal"
)

const (
	goldenRing      = "golden/ring.txt"
	goldenRingBytes = 64 << 10
	goldenRingCase  = "member"
)

// TestRingWithRecordsKeepsItsBytes freezes the file of a journal with the records of a voter.
func TestRingWithRecordsKeepsItsBytes(t *testing.T) {
	directory := t.TempDir()
	random := rand.NewChaCha8([32]byte{5, 2})
	opened, _, err := journal.Open(journal.Options{Dir: directory, MaxBytes: goldenRingBytes, Random: random})
	assert.NilError(t, err)
	for _, c := range goldenCases(t) {
		if c.name == goldenRingCase {
			assert.NilError(t, opened.Checkpoint(c.records[:3]))
			assert.NilError(t, opened.Append(c.records[3:]))
		}
	}
	assert.NilError(t, opened.Close())
	content, err := os.ReadFile(filepath.Join(directory, "journal-1"))
	assert.NilError(t, err)
	used := hex.EncodeToString(bytes.TrimRight(content, "\x00"))
	golden.Assert(t, fmt.Sprintf("%s %d %s\n", opened.Identity(), len(content), used), goldenRing)
}

// TestRingWithRecordsOfTheGoldenFileIsRead starts a voter from the journal as it was written once.
func TestRingWithRecordsOfTheGoldenFileIsRead(t *testing.T) {
	var identity, digits string
	var size int
	_, err := fmt.Sscan(string(golden.Get(t, goldenRing)), &identity, &size, &digits)
	assert.NilError(t, err)
	content, err := hex.DecodeString(digits)
	assert.NilError(t, err)
	directory := t.TempDir()
	content = append(content, make([]byte, size-len(content))...)
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "journal-1"), content, 0o644))

	opened, found, err := journal.Open(journal.Options{Dir: directory, MaxBytes: goldenRingBytes})
	assert.NilError(t, err)
	defer opened.Close()
	assert.Equal(t, opened.Identity(), identity)
	started := goldenCase{name: goldenRingCase, records: found}
	_, kept := started.play(t)

	var want []string
	for line := range strings.Lines(string(golden.Get(t, goldenRecords))) {
		if record, ok := strings.CutPrefix(line, goldenRingCase+" kept "); ok {
			want = append(want, strings.TrimSpace(record))
		}
	}
	assert.Equal(t, recordsText(kept), strings.Join(want, "\n"))
}
