package journal_test

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

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
)

const (
	goldenRing     = "golden/ring.txt"
	goldenIdentity = "golden/identity.txt"
	goldenDisk     = 64 << 10 // bytes
)

// goldenRecords are records of every kind that voters write, of several sizes, in three parts:
// appended at first, of the checkpoint after them, and appended to that.
func goldenRecords() (first, checkpoint, last []core.Record) {
	sized := func(kind uint8, size int) core.Record {
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(int(kind)*31 + i*7)
		}
		return core.Record{Kind: kind, Data: data}
	}
	first = []core.Record{sized(1, 45), sized(2, 200), sized(6, 80)}
	checkpoint = []core.Record{sized(2, 210), sized(3, 90), sized(4, 2), sized(8, 2), sized(5, 3000), sized(6, 64)}
	last = []core.Record{sized(6, 65), sized(7, 4), sized(255, 0)}
	return first, checkpoint, last
}

// writeGoldenRing writes the ring of a disk whose identity and numbers of attempts follow from a
// seed.
func writeGoldenRing(t *testing.T, directory string) (identity string) {
	t.Helper()
	random := rand.NewChaCha8([32]byte{7, 5, 6, 0})
	opened, found, err := journal.Open(journal.Options{Dir: directory, MaxBytes: goldenDisk, Random: random})
	assert.NilError(t, err)
	assert.Equal(t, len(found), 0)
	first, checkpoint, last := goldenRecords()
	assert.NilError(t, opened.Append(first[:1]))
	assert.NilError(t, opened.Append(first[1:]))
	assert.NilError(t, opened.Checkpoint(checkpoint))
	assert.NilError(t, opened.Append(last[:2]))
	assert.NilError(t, opened.Append(last[2:]))
	assert.NilError(t, opened.Close())
	return opened.Identity()
}

// TestRingKeepsItsBytes freezes the files of the ring, the identity of the disk in them.
func TestRingKeepsItsBytes(t *testing.T) {
	directory := t.TempDir()
	identity := writeGoldenRing(t, directory)
	golden.Assert(t, filesText(t, directory), goldenRing)
	golden.Assert(t, identity+"\n", goldenIdentity)
}

// TestRingOfTheGoldenFileIsRead opens the ring as it was written once, goes on with it and opens it
// again.
func TestRingOfTheGoldenFileIsRead(t *testing.T) {
	directory := t.TempDir()
	writeFiles(t, directory, string(golden.Get(t, goldenRing)))
	identity := strings.TrimSpace(string(golden.Get(t, goldenIdentity)))
	_, checkpoint, last := goldenRecords()
	want := append(checkpoint, last...)
	for range 3 {
		opened, found, err := journal.Open(journal.Options{Dir: directory, MaxBytes: goldenDisk})
		assert.NilError(t, err)
		assert.Assert(t, equalRecords(found, want))
		assert.Equal(t, opened.Identity(), identity)
		assert.Assert(t, opened.Healthy())
		more := core.Record{Kind: 6, Data: []byte("more")}
		assert.NilError(t, opened.Append([]core.Record{more}))
		want = append(want, more)
		assert.NilError(t, opened.Close())
	}
}

// filesText shows the files of a directory: name, size, and the bytes before the trailing zeros, 32
// bytes a line.
func filesText(t *testing.T, directory string) string {
	t.Helper()
	entries, err := os.ReadDir(directory)
	assert.NilError(t, err)
	var text strings.Builder
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(directory, entry.Name()))
		assert.NilError(t, err)
		fmt.Fprintf(&text, "file %s %d\n", entry.Name(), len(content))
		used := bytes.TrimRight(content, "\x00")
		for from := 0; from < len(used); from += 32 {
			fmt.Fprintln(&text, hex.EncodeToString(used[from:min(from+32, len(used))]))
		}
	}
	return text.String()
}

// writeFiles makes the files that filesText shows.
func writeFiles(t *testing.T, directory, text string) {
	t.Helper()
	var path string
	var content []byte
	var offset int
	flush := func() {
		if path != "" {
			assert.NilError(t, os.WriteFile(path, content, 0o644))
		}
	}
	for line := range strings.Lines(text) {
		var name string
		var size int
		if _, err := fmt.Sscanf(line, "file %s %d\n", &name, &size); err == nil {
			flush()
			path, content, offset = filepath.Join(directory, name), make([]byte, size), 0
			continue
		}
		part, err := hex.DecodeString(strings.TrimSpace(line))
		assert.NilError(t, err)
		offset += copy(content[offset:], part)
	}
	flush()
}
