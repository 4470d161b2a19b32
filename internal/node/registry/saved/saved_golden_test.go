package saved_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry/saved"
)

const goldenSnapshots = "golden/copies.txt"

var goldenTime = time.UnixMilli(1_790_000_000_000)

// goldenInstance has every field of the schema, by number.
func goldenInstance(t *testing.T, seed uint64) *nodepb.Instance {
	t.Helper()
	var encoded []byte
	text := func(to []byte, field protowire.Number, text string) []byte {
		return protowire.AppendString(protowire.AppendTag(to, field, protowire.BytesType), text)
	}
	number := func(to []byte, field protowire.Number, value uint64) []byte {
		return protowire.AppendVarint(protowire.AppendTag(to, field, protowire.VarintType), value)
	}
	for _, field := range []protowire.Number{1, 2, 3, 4, 5} {
		encoded = text(encoded, field, fmt.Sprintf("text %d of %d", field, seed))
	}
	encoded = number(encoded, 6, 16+seed)
	encoded = number(encoded, 7, seed%3)
	encoded = number(number(encoded, 8, 2500), 9, 1<<33+seed)
	encoded = text(encoded, 10, "canary")
	model := text(number(text(nil, 1, "daka510000"), 2, 3+seed), 3, "adapter-1")
	encoded = text(encoded, 11, string(text(model, 3, "adapter-2")))
	encoded = number(number(number(encoded, 12, 120), 13, 7), 14, 90+seed)
	instance := new(nodepb.Instance)
	assert.NilError(t, proto.Unmarshal(encoded, instance))
	assert.Equal(t, len(instance.ProtoReflect().GetUnknown()), 0)
	return instance
}

func goldenInstances(t *testing.T) []*nodepb.Instance {
	return []*nodepb.Instance{goldenInstance(t, 1), goldenInstance(t, 2)}
}

// TestSnapshotFilesKeepTheirBytes freezes the bytes and the names of both files.
func TestSnapshotFilesKeepTheirBytes(t *testing.T) {
	dir := t.TempDir()
	file := saved.Open(dir)
	assert.NilError(t, file.Save(goldenInstances(t), goldenTime))
	assert.NilError(t, file.Save(goldenInstances(t)[:1], goldenTime.Add(1500*time.Millisecond)))
	golden.Assert(t, describeFiles(t, dir), goldenSnapshots)
}

// describeFiles returns a line for each file of a directory: its name, and its bytes in hexadecimal digits.
func describeFiles(t *testing.T, dir string) string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	assert.NilError(t, err)
	var text strings.Builder
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		assert.NilError(t, err)
		fmt.Fprintln(&text, entry.Name(), hex.EncodeToString(content))
	}
	return text.String()
}

// TestSnapshotFilesOfGoldenFileAreLoaded loads the newest snapshot as it was
// written once, and the other one if the newest is damaged.
func TestSnapshotFilesOfGoldenFileAreLoaded(t *testing.T) {
	dir := t.TempDir()
	var newest string
	for line := range strings.Lines(string(golden.Get(t, goldenSnapshots))) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		content, err := hex.DecodeString(digits)
		assert.NilError(t, err)
		newest = filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(newest, content, 0o644))
	}
	now := goldenTime.Add(30 * time.Second)
	loaded, err := saved.Open(dir).Load(now)
	assert.NilError(t, err)
	assertInstances(t, loaded, goldenInstances(t)[:1])

	content, err := os.ReadFile(newest)
	assert.NilError(t, err)
	content[len(content)-1] ^= 1
	assert.NilError(t, os.WriteFile(newest, content, 0o644))
	loaded, err = saved.Open(dir).Load(now)
	assert.NilError(t, err)
	assertInstances(t, loaded, goldenInstances(t))
}

func assertInstances(t *testing.T, got, want []*nodepb.Instance) {
	t.Helper()
	assert.Equal(t, len(got), len(want))
	for i := range want {
		gotBytes, err := proto.Marshal(got[i])
		assert.NilError(t, err)
		wantBytes, err := proto.Marshal(want[i])
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(gotBytes, wantBytes))
	}
}

const goldenLeaving = "golden/leaving.txt"

// TestLeavingFilesKeepTheirBytes freezes the bytes and the names of the files of leaving brokers.
func TestLeavingFilesKeepTheirBytes(t *testing.T) {
	dir := t.TempDir()
	log, _, err := saved.OpenLeaving(dir, func() time.Time { return goldenTime })
	assert.NilError(t, err)
	assert.NilError(t, log.Append(goldenInstances(t)[:1]))
	assert.NilError(t, log.Append(goldenInstances(t)[1:]))
	golden.Assert(t, describeFiles(t, dir), goldenLeaving)
}

// TestLeavingFilesOfGoldenFileAreRead reads what was written once.
func TestLeavingFilesOfGoldenFileAreRead(t *testing.T) {
	dir := t.TempDir()
	for line := range strings.Lines(string(golden.Get(t, goldenLeaving))) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		content, err := hex.DecodeString(digits)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), content, 0o644))
	}
	_, read, err := saved.OpenLeaving(dir, time.Now)
	assert.NilError(t, err)
	assertInstances(t, read, goldenInstances(t))
}
