package saved

import (
	"errors"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// leavingIDs opens the log and returns which brokers it has, sorted.
func leavingIDs(t *testing.T, dir string) (*LeavingLog, []string) {
	t.Helper()
	log, instances, err := OpenLeaving(dir, func() time.Time { return noon })
	assert.NilError(t, err)
	var ids []string
	for _, instance := range instances {
		ids = append(ids, instance.Id)
	}
	slices.Sort(ids)
	return log, slices.Compact(ids)
}

func TestAppendedLeavingBrokersAreFoundByEachLaterOpen(t *testing.T) {
	dir := t.TempDir()
	var want []string
	for _, id := range []string{"a", "b", "c", "d"} {
		log, ids := leavingIDs(t, dir)
		assert.DeepEqual(t, ids, want)
		assert.NilError(t, log.Append(instances(id+"1")))
		assert.NilError(t, log.Append(instances(id+"2", id+"3")))
		want = append(want, id+"1", id+"2", id+"3")
	}
}

// TestKilledAppendCostsNothingThatWasDurable cuts the newest write at every byte, and damages each of its bytes: whatever was
// appended before is found, also after the next append on what is left.
func TestKilledAppendCostsNothingThatWasDurable(t *testing.T) {
	for name, newest := range map[string]func(*LeavingLog) error{
		"append":         func(log *LeavingLog) error { return log.Append(instances("new")) },
		"new generation": func(log *LeavingLog) error { log.rewrite = true; return log.Append(instances("new")) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			log, _ := leavingIDs(t, dir)
			assert.NilError(t, log.Append(instances("a")))
			assert.NilError(t, log.Append(instances("b")))
			before := readAll(t, log)
			assert.NilError(t, newest(log))
			after := readAll(t, log)
			slot := log.slot
			begin := len(before[slot])
			if name == "new generation" {
				begin = 0
			}
			for end := begin; end < len(after[slot]); end++ {
				damaged := slices.Clone(after[slot])
				damaged[end] ^= 0xff
				for _, content := range [][]byte{after[slot][:end], damaged} {
					restore(t, log, before)
					assert.NilError(t, os.WriteFile(log.path(slot), content, 0o644))
					reopened, ids := leavingIDs(t, dir)
					assert.Assert(t, slices.Contains(ids, "a") && slices.Contains(ids, "b"), "%d: %v", end, ids)
					// Power is lost in the next write: the file that it goes to is empty.
					assert.NilError(t, os.WriteFile(reopened.path((reopened.slot+1)%slotCount), nil, 0o644))
					_, ids = leavingIDs(t, dir)
					assert.Assert(t, slices.Contains(ids, "a") && slices.Contains(ids, "b"), "%d, after the next write: %v", end, ids)
				}
			}
		})
	}
}

func readAll(t *testing.T, log *LeavingLog) (contents [slotCount][]byte) {
	t.Helper()
	for slot := range slotCount {
		content, err := os.ReadFile(log.path(slot))
		if !errors.Is(err, os.ErrNotExist) {
			assert.NilError(t, err)
		}
		contents[slot] = content
	}
	return contents
}

func restore(t *testing.T, log *LeavingLog, contents [slotCount][]byte) {
	t.Helper()
	for slot, content := range contents {
		assert.NilError(t, os.WriteFile(log.path(slot), content, 0o644))
	}
}

func TestFailedAppendIsContainedInTheNextOne(t *testing.T) {
	dir := t.TempDir()
	log, _ := leavingIDs(t, dir)
	assert.NilError(t, log.Append(instances("a")))
	assert.NilError(t, os.Chmod(dir, 0o555))
	assert.NilError(t, os.Rename(dir, dir+".away")) // as root may write in spite of the mode
	assert.Assert(t, errors.Is(log.Append(instances("b")), syscall.ENOENT))
	assert.Assert(t, errors.Is(log.Append(instances("c")), syscall.ENOENT))
	assert.NilError(t, os.Rename(dir+".away", dir))
	assert.NilError(t, os.Chmod(dir, 0o755))
	assert.NilError(t, log.Append(instances("d")))
	_, ids := leavingIDs(t, dir)
	assert.DeepEqual(t, ids, []string{"a", "b", "c", "d"})
}

func TestLaterStateOfABrokerIsKept(t *testing.T) {
	dir := t.TempDir()
	log, _ := leavingIDs(t, dir)
	assert.NilError(t, log.Append([]*nodepb.Instance{{Id: "a", State: nodepb.InstanceState_GONE}}))
	assert.NilError(t, log.Append([]*nodepb.Instance{{Id: "a", State: nodepb.InstanceState_DRAINING}}))
	log.rewrite = true
	assert.NilError(t, log.Append(instances("b")))
	content := readAll(t, log)
	_, complete, kept := readLeaving(content[log.slot])
	assert.Assert(t, complete)
	for _, instance := range kept {
		if instance.Id == "a" {
			assert.Equal(t, instance.State, nodepb.InstanceState_GONE)
		}
	}
}

// TestLeavingLogStaysSmall while brokers come and go for hours.
func TestLeavingLogStaysSmall(t *testing.T) {
	dir := t.TempDir()
	now := noon
	log, _, err := OpenLeaving(dir, func() time.Time { return now })
	assert.NilError(t, err)
	largest := 0
	for i := range 3_000 {
		now = now.Add(500 * time.Millisecond)
		id := "i-" + strings.Repeat("x", 300) + time.Duration(i).String()
		assert.NilError(t, log.Append(instances(id)))
		if i%50 == 0 {
			contents := readAll(t, log)
			largest = max(largest, len(contents[0])+len(contents[1]))
		}
	}
	assert.Assert(t, largest < 3*compactionBytes, "%d bytes", largest)
	assert.Assert(t, len(log.kept) < 3*compactionBytes/300)
}
