package journal_test

import (
	"encoding/binary"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/journal"
	"kestrelspread/internal/node/journal/diskfault"
)

// headerBytes is the length of a frame's header, and startBytes that of the frame before the first
// record.
const (
	headerBytes = 64
	startBytes  = headerBytes + 36
)

func newDisk() *diskfault.Disk { return diskfault.New(rand.New(rand.NewPCG(1, 2))) }

func open(t *testing.T, disk *diskfault.Disk) (*journal.Journal, []core.Record) {
	t.Helper()
	opened, records, err := journal.Open(journal.Options{Dir: directory, MaxBytes: smallDisk, FileSystem: disk})
	assert.NilError(t, err)
	return opened, records
}

// record makes a record of 8 bytes.
func record(text string) core.Record {
	data := make([]byte, 8)
	copy(data, text)
	return core.Record{Kind: 3, Data: data}
}

func list(texts ...string) []core.Record {
	var records []core.Record
	for _, text := range texts {
		records = append(records, record(text))
	}
	return records
}

func assertRecords(t *testing.T, got []core.Record, want ...string) {
	t.Helper()
	assert.Assert(t, equalRecords(got, list(want...)), "found %s", names(got))
}

// overwrite writes into a file behind the journal's back, for good.
func overwrite(t *testing.T, disk *diskfault.Disk, path string, offset int64, data []byte) {
	t.Helper()
	file, err := disk.Open(path)
	assert.NilError(t, err)
	_, err = file.WriteAt(data, offset)
	assert.NilError(t, err)
	assert.NilError(t, file.Sync())
}

func segmentPath(number string) string { return filepath.Join(directory, "journal-"+number) }

func TestAppendedRecordsAreRecoveredInOrder(t *testing.T) {
	disk := newDisk()
	opened, records := open(t, disk)
	assertRecords(t, records)
	assert.NilError(t, opened.Append(list("a", "b")))
	assert.NilError(t, opened.Append(list("c")))
	disk.LosePower(diskfault.AllLost)

	opened, records = open(t, disk)
	assertRecords(t, records, "a", "b", "c")
	assert.Equal(t, opened.Recovery().Records, 3)
	assert.NilError(t, opened.Append(list("d")))
	disk.LosePower(diskfault.AllLost)

	_, records = open(t, disk)
	assertRecords(t, records, "a", "b", "c", "d")
}

func TestCheckpointReplacesEarlierRecords(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	for range 5 {
		assert.NilError(t, opened.Append(list("a", "b", "c")))
		assert.NilError(t, opened.Checkpoint(list("s", "t")))
		assert.NilError(t, opened.Append(list("d")))
	}
	disk.LosePower(diskfault.AllLost)
	opened, records := open(t, disk)
	assertRecords(t, records, "s", "t", "d")
	assert.NilError(t, opened.Checkpoint(nil))
	_, records = open(t, disk)
	assertRecords(t, records)
}

func TestIdentityIsKeptUntilDiskIsWiped(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	identity := opened.Identity()
	assert.Equal(t, len(identity), 32)
	for range 4 {
		disk.LosePower(diskfault.AllLost)
		opened, _ = open(t, disk)
		assert.Equal(t, opened.Identity(), identity)
		assert.NilError(t, opened.Checkpoint(list("s")))
	}
	disk.Wipe()
	opened, records := open(t, disk)
	assertRecords(t, records)
	assert.Assert(t, opened.Identity() != identity)
}

func TestFullDiskAtFirstStart(t *testing.T) {
	disk := newDisk()
	disk.SetFull(true)
	opened, records := open(t, disk)
	assertRecords(t, records)
	assert.Assert(t, !opened.Healthy())
	assert.Assert(t, opened.Identity() != "")
	assert.Assert(t, opened.Append(list("a")) != nil)
	assert.Assert(t, opened.Checkpoint(list("s")) != nil)

	disk.SetFull(false)
	assert.NilError(t, opened.Append(list("b")))
	assert.Assert(t, opened.Healthy())
	disk.LosePower(diskfault.AllLost)
	again, records := open(t, disk)
	assertRecords(t, records, "b")
	assert.Equal(t, again.Identity(), opened.Identity())
}

func TestFullDiskAtLaterStart(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	assert.NilError(t, opened.Append(list("a")))
	disk.Restart()
	disk.SetFull(true)
	opened, records := open(t, disk)
	assertRecords(t, records, "a")
	assert.Assert(t, !opened.Healthy())
	assert.Assert(t, opened.Append(nil) != nil)
	disk.SetFull(false)
	assert.NilError(t, opened.Append(nil))
	assert.Assert(t, opened.Healthy())
}

// TestRemainsOfLostBatchAreNotRead: of a batch that a loss of power tore, the second record is
// left, and the first is written again in the same length, by the next start.
func TestRemainsOfLostBatchAreNotRead(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	assert.NilError(t, opened.Append(list("a")))
	assert.NilError(t, opened.Append(list("b", "c")))
	frame := int64(headerBytes + 8)
	overwrite(t, disk, segmentPath("0"), startBytes+frame, make([]byte, frame))

	opened, records := open(t, disk)
	assertRecords(t, records, "a")
	assert.Assert(t, !opened.Recovery().Damaged)
	assert.NilError(t, opened.Append(list("b")))
	_, records = open(t, disk)
	assertRecords(t, records, "a", "b")
}

// TestRemainsOfFailedAppendAreNotRead is the same within one run of the process.
func TestRemainsOfFailedAppendAreNotRead(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	assert.NilError(t, opened.Append(list("a")))
	disk.SetSyncsFailing(true)
	assert.Assert(t, opened.Append(list("b", "c")) != nil)
	disk.SetSyncsFailing(false)
	assert.NilError(t, opened.Append(list("b")))
	_, records := open(t, disk)
	assertRecords(t, records, "a", "b")
}

// TestRecordsFoundAfterFailedSyncAreMadeDurable: the process is killed after a sync failed; its
// successor reads the records from the system's memory, and a sync alone would not bring them to
// the disk.
func TestRecordsFoundAfterFailedSyncAreMadeDurable(t *testing.T) {
	for seed := range uint64(20) {
		disk := diskfault.New(rand.New(rand.NewPCG(seed, 2)))
		opened, _ := open(t, disk)
		assert.NilError(t, opened.Append(list("a")))
		disk.SetSyncsFailing(true)
		assert.Assert(t, opened.Append(list("b", "c")) != nil)
		disk.Restart()

		opened, records := open(t, disk)
		assertRecords(t, records, "a", "b", "c")
		assert.Assert(t, opened.Healthy())
		disk.LosePower(diskfault.AllLost)
		_, records = open(t, disk)
		assertRecords(t, records, "a", "b", "c")
	}
}

// TestFailedCheckpointDoesNotHideLaterRecords: a checkpoint whose sync failed is complete on the
// disk all the same.
func TestFailedCheckpointDoesNotHideLaterRecords(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	assert.NilError(t, opened.Append(list("a")))
	disk.SetSyncsFailing(true)
	assert.Assert(t, opened.Checkpoint(list("s")) != nil)
	assert.Assert(t, opened.Append(list("b")) != nil)
	disk.SetSyncsFailing(false)
	assert.NilError(t, opened.Append(list("b")))
	_, records := open(t, disk)
	assertRecords(t, records, "a", "b")
}

// TestFailedCheckpointDoesNotReappearAfterKill: it was overwritten in the system's memory, but not
// on the disk; the next process sees the former only, and a loss of power brings the latter back.
func TestFailedCheckpointDoesNotReappearAfterKill(t *testing.T) {
	for seed := range uint64(100) {
		disk := diskfault.New(rand.New(rand.NewPCG(seed, 4)))
		opened, _ := open(t, disk)
		assert.NilError(t, opened.Append(list("a")))
		disk.SetSyncsFailing(true)
		assert.Assert(t, opened.Checkpoint(list("s")) != nil)
		assert.Assert(t, opened.Append(list("b")) != nil)
		disk.Restart()

		opened, records := open(t, disk)
		assertRecords(t, records, "a")
		assert.NilError(t, opened.Append(list("c")))
		disk.LosePower(diskfault.SomeLost)
		_, records = open(t, disk)
		assertRecords(t, records, "a", "c")
	}
}

// TestRecordThatWasNotFoundDoesNotReappear: after the last sound record there is one in the
// system's cache that another failed write overlaps, and that is complete on the disk.
func TestRecordThatWasNotFoundDoesNotReappear(t *testing.T) {
	frame := int64(headerBytes + 8)
	for seed := range uint64(100) {
		disk := diskfault.New(rand.New(rand.NewPCG(seed, 5)))
		opened, _ := open(t, disk)
		assert.NilError(t, opened.Append(list("a")))
		disk.SetSyncsFailing(true)
		assert.Assert(t, opened.Append(list("b", "c")) != nil)
		file, err := disk.Open(segmentPath("0"))
		assert.NilError(t, err)
		_, err = file.WriteAt(make([]byte, 8), startBytes+3*frame-8)
		assert.NilError(t, err)
		assert.Assert(t, file.Sync() != nil)
		disk.Restart()

		_, records := open(t, disk)
		assertRecords(t, records, "a", "b")
		disk.LosePower(diskfault.AllLost)
		_, records = open(t, disk)
		assertRecords(t, records, "a", "b")
	}
}

func TestDamageBeforeDurableRecordsIsDetected(t *testing.T) {
	frame := int64(headerBytes + 8)
	cases := []struct {
		name    string
		segment string
		offset  int64
		dropped int
	}{
		{"payload of an appended record", "1", startBytes + 2*frame + headerBytes, 2 + 1},
		{"header of an appended record", "1", startBytes + 2*frame, 2 + 1},
		{"record of the checkpoint", "1", startBytes + headerBytes, 1 + 2},
		{"start frame", "1", 5, 1 + 2},
	}
	for _, c := range cases {
		disk := newDisk()
		opened, _ := open(t, disk)
		assert.NilError(t, opened.Append(list("old")))
		assert.NilError(t, opened.Checkpoint(list("s", "t")))
		assert.NilError(t, opened.Append(list("a")))
		assert.NilError(t, opened.Append(list("b")))
		disk.Damage(segmentPath(c.segment), c.offset)

		damaged, records := open(t, disk)
		assertRecords(t, records)
		assert.Assert(t, damaged.Recovery().Damaged, c.name)
		assert.Equal(t, damaged.Recovery().Dropped, c.dropped, c.name)
		assert.Assert(t, damaged.Identity() != opened.Identity(), c.name)
		assert.NilError(t, damaged.Append(list("new")))
		disk.LosePower(diskfault.AllLost)

		again, records := open(t, disk)
		assertRecords(t, records, "new")
		assert.Assert(t, !again.Recovery().Damaged, c.name)
		assert.Equal(t, again.Identity(), damaged.Identity(), c.name)
	}
}

// TestCrashDuringResetOfDamagedJournal: the state before the damage, with its identity, never comes
// back.
func TestCrashDuringResetOfDamagedJournal(t *testing.T) {
	for step := 1; step < 12; step++ {
		for seed := range uint64(10) {
			disk := diskfault.New(rand.New(rand.NewPCG(seed, 3)))
			opened, _ := open(t, disk)
			assert.NilError(t, opened.Append(list("old")))
			assert.NilError(t, opened.Checkpoint(list("s")))
			assert.NilError(t, opened.Append(list("a")))
			disk.Damage(segmentPath("1"), 5)
			disk.StopAt(disk.Steps() + step)
			_, _, _ = journal.Open(journal.Options{Dir: directory, MaxBytes: smallDisk, FileSystem: disk})
			disk.LosePower(diskfault.SomeLost)
			again, records := open(t, disk)
			assertRecords(t, records)
			assert.Assert(t, again.Identity() != opened.Identity())
		}
	}
}

func TestTornTailIsNotDamage(t *testing.T) {
	disk := newDisk()
	opened, _ := open(t, disk)
	assert.NilError(t, opened.Append(list("a")))
	assert.NilError(t, opened.Append(list("b")))
	end := startBytes + 2*(headerBytes+8)
	disk.Damage(segmentPath("0"), int64(end-1))
	opened, records := open(t, disk)
	assertRecords(t, records, "a")
	assert.Assert(t, !opened.Recovery().Damaged)
}

func TestForeignBytesAreNotRead(t *testing.T) {
	disk := newDisk()
	file, err := disk.Create(segmentPath("0"))
	assert.NilError(t, err)
	content := make([]byte, 5000)
	random := rand.New(rand.NewPCG(7, 7))
	for i := 0; i < len(content); i += 8 {
		binary.LittleEndian.PutUint64(content[i:], random.Uint64())
	}
	_, err = file.WriteAt(content, 0)
	assert.NilError(t, err)
	opened, records := open(t, disk)
	assertRecords(t, records)
	assert.NilError(t, opened.Append(list("a")))
	_, records = open(t, disk)
	assertRecords(t, records, "a")
}

func TestOpenReportsUnreadableDisk(t *testing.T) {
	disk := newDisk()
	disk.StopAt(1)
	_, err := disk.Create(segmentPath("0"))
	assert.Assert(t, err != nil)
	_, _, err = journal.Open(journal.Options{Dir: directory, FileSystem: disk})
	assert.ErrorContains(t, err, "unreadable")
}
