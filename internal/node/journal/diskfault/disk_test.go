package diskfault

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/journal"
)

const path = "/data/file"

func newDisk(seed uint64) *Disk { return New(rand.New(rand.NewPCG(seed, 0))) }

func create(t *testing.T, disk *Disk) journal.File {
	t.Helper()
	file, err := disk.Create(path)
	assert.NilError(t, err)
	return file
}

func writeText(t *testing.T, file journal.File, text string, offset int64) {
	t.Helper()
	n, err := file.WriteAt([]byte(text), offset)
	assert.NilError(t, err)
	assert.Equal(t, n, len(text))
}

// makeDurable syncs a file and its name.
func makeDurable(t *testing.T, disk *Disk, file journal.File) {
	t.Helper()
	assert.NilError(t, file.Sync())
	assert.NilError(t, disk.SyncDir("/data/"))
}

func TestUnsyncedWritesAreLost(t *testing.T) {
	disk := newDisk(1)
	file := create(t, disk)
	writeText(t, file, "synced", 0)
	makeDurable(t, disk, file)
	writeText(t, file, "later!", 0)
	disk.Restart()
	assert.Equal(t, string(disk.Content(path)), "later!", "an end of the process alone loses nothing")
	disk.LosePower(AllLost)
	assert.Equal(t, string(disk.Content(path)), "synced")
}

func TestUnsyncedWritesAreKeptLostOrTorn(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(200) {
		disk := newDisk(seed)
		file := create(t, disk)
		writeText(t, file, "aa", 0)
		makeDurable(t, disk, file)
		writeText(t, file, "bb", 0)
		disk.LosePower(SomeLost)
		seen[string(disk.Content(path))] = true
	}
	assert.DeepEqual(t, seen, map[string]bool{"aa": true, "bb": true, "ab": true, "ba": true})
}

func TestNamesOfUnsyncedDirectoryMayBeLost(t *testing.T) {
	kept, gone := 0, 0
	for seed := range uint64(100) {
		disk := newDisk(seed)
		assert.NilError(t, create(t, disk).Sync())
		disk.LosePower(SomeLost)
		if disk.Content(path) != nil {
			kept++
		} else {
			gone++
		}
	}
	assert.Assert(t, kept > 0 && gone > 0)
	disk := newDisk(1)
	assert.NilError(t, create(t, disk).Sync())
	disk.LosePower(AllLost)
	_, err := disk.Open(path)
	assert.Assert(t, errors.Is(err, fs.ErrNotExist))
}

func TestFailedSyncLeavesItsWritesUncertain(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(200) {
		disk := newDisk(seed)
		file := create(t, disk)
		writeText(t, file, "a", 0)
		makeDurable(t, disk, file)
		writeText(t, file, "b", 0)
		disk.SetSyncsFailing(true)
		assert.Assert(t, errors.Is(file.Sync(), syscall.EIO))
		disk.SetSyncsFailing(false)
		assert.NilError(t, file.Sync())
		assert.Equal(t, string(disk.Content(path)), "b")
		disk.LosePower(AllLost)
		seen[string(disk.Content(path))] = true
	}
	assert.DeepEqual(t, seen, map[string]bool{"a": true, "b": true})
}

func TestFullAndFailingDisksRefuseWrites(t *testing.T) {
	disk := newDisk(1)
	file := create(t, disk)
	disk.SetFull(true)
	_, err := file.WriteAt([]byte("a"), 0)
	assert.Assert(t, errors.Is(err, syscall.ENOSPC))
	assert.Equal(t, len(disk.Content(path)), 0)
	_, err = disk.Create("/data/other")
	assert.Assert(t, errors.Is(err, syscall.ENOSPC))
	disk.SetFull(false)
	disk.SetFailing(true)
	_, err = file.WriteAt([]byte("a"), 0)
	assert.Assert(t, errors.Is(err, syscall.EIO))
	assert.Assert(t, errors.Is(disk.SyncDir("/data"), syscall.EIO))
}

func TestStopAtEndsProcessInMidOperation(t *testing.T) {
	disk := newDisk(1)
	file := create(t, disk)
	writeText(t, file, "a", 0)
	disk.StopAt(disk.Steps() + 2)
	writeText(t, file, "b", 1)
	assert.Assert(t, errors.Is(file.Sync(), ErrStopped))
	_, err := file.WriteAt([]byte("c"), 2)
	assert.Assert(t, errors.Is(err, ErrStopped))
	_, err = disk.Open(path)
	assert.Assert(t, errors.Is(err, ErrStopped))
	disk.Restart()
	assert.Equal(t, string(disk.Content(path)), "ab")
	_, err = disk.Open(path)
	assert.NilError(t, err)
}

func TestWipeRemovesFiles(t *testing.T) {
	disk := newDisk(1)
	makeDurable(t, disk, create(t, disk))
	disk.Wipe()
	_, err := disk.Open(path)
	assert.Assert(t, errors.Is(err, fs.ErrNotExist))
}
