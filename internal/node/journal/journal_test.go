package journal_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
	"kestrelspread/internal/node/journal/diskfault"
)

func TestJournalWithoutDirectoryKeepsNothing(t *testing.T) {
	opened, records, err := journal.Open(journal.Options{})
	assert.NilError(t, err)
	assert.Equal(t, len(records), 0)
	assert.Equal(t, opened.Identity(), "")
	assert.NilError(t, opened.Append(list("a")))
	assert.NilError(t, opened.Checkpoint(list("s")))
	assert.Assert(t, opened.Healthy())
	assert.Assert(t, !opened.NeedsCheckpoint())
	assert.NilError(t, opened.Close())
}

func TestRealFileSystemKeepsRecordsAndIdentity(t *testing.T) {
	options := journal.Options{Dir: filepath.Join(t.TempDir(), "node"), MaxBytes: 64 << 20}
	opened, records, err := journal.Open(options)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 0)
	assert.NilError(t, opened.Append(list("a", "b")))
	large := core.Record{Kind: 9, Data: bytes.Repeat([]byte("0123456789"), 1<<20)} // 10 MiB
	assert.NilError(t, opened.Checkpoint([]core.Record{record("s"), large}))
	assert.NilError(t, opened.Append(list("c")))
	assert.NilError(t, opened.Close())

	again, records, err := journal.Open(options)
	assert.NilError(t, err)
	defer again.Close()
	assert.Assert(t, equalRecords(records, []core.Record{record("s"), large, record("c")}))
	assert.Equal(t, again.Identity(), opened.Identity())
	assert.Assert(t, again.Healthy())
}

func TestOpenReportsDirectoryThatCannotBeMade(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(file, nil, 0o600))
	_, _, err := journal.Open(journal.Options{Dir: filepath.Join(file, "node")})
	assert.Assert(t, errors.Is(err, journal.ErrUnreadable))
}

func TestFirstStartPreallocatesOneStep(t *testing.T) {
	directory := t.TempDir()
	opened, _, err := journal.Open(journal.Options{Dir: directory, MaxBytes: 64 << 20})
	assert.NilError(t, err)
	defer opened.Close()
	entries, err := os.ReadDir(directory)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	info, err := entries[0].Info()
	assert.NilError(t, err)
	assert.Equal(t, info.Size(), int64(256<<10))
}

func TestNeedsCheckpointAfterEnoughAppends(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	assert.Assert(t, !opened.NeedsCheckpoint())
	appended := 0
	for !opened.NeedsCheckpoint() {
		assert.NilError(t, opened.Append(list("a", "b", "c")))
		appended += 3
	}
	again, records := open(t, disk)
	assert.Equal(t, len(records), appended)
	assert.Assert(t, again.NeedsCheckpoint())
	assert.NilError(t, again.Checkpoint(records[:10]))
	assert.Assert(t, !again.NeedsCheckpoint())
}

func TestFullSegmentTakesRecordsAfterCheckpoint(t *testing.T) {
	opened, _ := open(t, newDisk())
	var err error
	for err == nil {
		err = opened.Append(list("a"))
	}
	assert.Assert(t, errors.Is(err, journal.ErrFull))
	assert.Assert(t, opened.NeedsCheckpoint())
	assert.NilError(t, opened.Checkpoint(list("s")))
	assert.NilError(t, opened.Append(list("a")))
}

func TestOversizedRecordRequestsCheckpoint(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	large := core.Record{Data: make([]byte, 15<<10)}
	assert.NilError(t, opened.Append(list("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")))
	assert.Assert(t, !opened.NeedsCheckpoint())
	assert.Assert(t, errors.Is(opened.Append([]core.Record{large}), journal.ErrFull))
	assert.Assert(t, opened.NeedsCheckpoint())
	assert.NilError(t, opened.Checkpoint(list("s")))
	assert.NilError(t, opened.Append([]core.Record{large}))
}

func TestOversizedCheckpointLeavesState(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	assert.NilError(t, opened.Append(list("a")))
	err := opened.Checkpoint([]core.Record{{Data: make([]byte, smallDisk)}})
	assert.Assert(t, errors.Is(err, journal.ErrTooLarge))
	assert.NilError(t, opened.Append(list("b")))
	_, records := open(t, disk)
	assertRecords(t, records, "a", "b")
}

func TestEmptyRecordsAreRecovered(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	empty := []core.Record{{Kind: 1}, {Kind: 2, Data: []byte{}}}
	assert.NilError(t, opened.Checkpoint(empty))
	assert.NilError(t, opened.Append(empty))
	_, records := open(t, disk)
	assert.Assert(t, equalRecords(records, append(empty, empty...)))
}

// TestAppendIsOneWriteAndOneSync: an append within the preallocated space doesn't change the length
// of the file.
func TestAppendIsOneWriteAndOneSync(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	before := disk.Steps()
	length := len(disk.Content(segmentPath("0")))
	assert.NilError(t, opened.Append(list("a", "b", "c")))
	assert.Equal(t, disk.Steps()-before, 2)
	assert.Equal(t, len(disk.Content(segmentPath("0"))), length)
}

var _ journal.FileSystem = (*diskfault.Disk)(nil)
