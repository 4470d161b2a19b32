package saved

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

var noon = time.UnixMilli(1_800_000_000_000)

func instances(ids ...string) []*nodepb.Instance {
	var list []*nodepb.Instance
	for _, id := range ids {
		list = append(list, &nodepb.Instance{Id: id, Service: "labels", Address: "10.0.0.1:80"})
	}
	return list
}

func loadedIDs(t *testing.T, dir string, now time.Time) []string {
	t.Helper()
	list, err := Open(dir).Load(now)
	assert.NilError(t, err)
	var ids []string
	for _, instance := range list {
		ids = append(ids, instance.Id)
	}
	return ids
}

func TestLoadReturnsNewestCompleteSnapshot(t *testing.T) {
	dir := t.TempDir()
	file := Open(dir)
	assert.NilError(t, file.Save(instances("a", "b", "c"), noon))
	assert.NilError(t, file.Save(instances("d"), noon.Add(time.Second)))
	assert.DeepEqual(t, loadedIDs(t, dir, noon.Add(2*time.Second)), []string{"d"})
	assert.NilError(t, file.Save(instances("e", "f"), noon.Add(3*time.Second)))
	assert.DeepEqual(t, loadedIDs(t, dir, noon.Add(4*time.Second)), []string{"e", "f"})
}

func TestLoadFallsBackFromDamagedSnapshot(t *testing.T) {
	dir := t.TempDir()
	file := Open(dir)
	assert.NilError(t, file.Save(instances("a"), noon))
	assert.NilError(t, file.Save(instances("b"), noon.Add(time.Second)))
	complete, err := os.ReadFile(file.path(1))
	assert.NilError(t, err)
	for offset := range complete {
		damaged := append([]byte(nil), complete...)
		damaged[offset] ^= 0xff
		assert.NilError(t, os.WriteFile(file.path(1), damaged, 0o644))
		assert.DeepEqual(t, loadedIDs(t, dir, noon.Add(time.Second)), []string{"a"})
		assert.NilError(t, os.WriteFile(file.path(1), complete[:offset], 0o644))
		assert.DeepEqual(t, loadedIDs(t, dir, noon.Add(time.Second)), []string{"a"})
	}
}

func TestLoadRejectsOldOrMissingSnapshot(t *testing.T) {
	dir := t.TempDir()
	_, err := Open(dir).Load(noon)
	assert.ErrorContains(t, err, "no complete snapshot")
	assert.NilError(t, Open(dir).Save(instances("a"), noon))
	_, err = Open(dir).Load(noon.Add(MaxAge + time.Second))
	assert.ErrorContains(t, err, "the newest was saved at")
}
