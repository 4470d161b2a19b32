package fencedir_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/fleet/lease/fence"
	fencedir "kestrelspread/internal/fleet/lease/fence/dir"
)

const goldenVersions = "golden/versions.txt"

func goldenEffects() []fence.Effect {
	return []fence.Effect{
		{Role: "statement", Token: 3, Key: "statement/1", Body: []byte(`{"period_ms":1}`)},
		{Role: "statement", Token: 5, Key: "statement/1", Body: []byte(`{"period_ms":1}`)}, // done: only its token is new
		{Role: "statement", Token: 5, Key: "statement/2"},
		{Role: "stages", Token: 4, Key: "1", Body: []byte(`[1,"\u00e9"]`)},
	}
}

// TestVersionsKeepTheirBytes freezes the files of a fenced receiver, and their names.
func TestVersionsKeepTheirBytes(t *testing.T) {
	dir := t.TempDir()
	receiver, err := fencedir.Open(dir)
	assert.NilError(t, err)
	for _, effect := range goldenEffects() {
		_, err := receiver.Apply(effect)
		assert.NilError(t, err)
	}
	entries, err := os.ReadDir(dir)
	assert.NilError(t, err)
	var text strings.Builder
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		assert.NilError(t, err)
		fmt.Fprintf(&text, "%s %s", entry.Name(), content)
	}
	golden.Assert(t, text.String(), goldenVersions)
}

// TestVersionsOfTheGoldenFileAreRead goes on with a folder as it was left once: old tokens are refused, effects known.
func TestVersionsOfTheGoldenFileAreRead(t *testing.T) {
	dir := t.TempDir()
	for line := range strings.Lines(string(golden.Get(t, goldenVersions))) {
		name, content, _ := strings.Cut(line, " ")
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644))
	}
	versions, err := fencedir.ReadVersions(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(versions), len(goldenEffects()))
	receiver, err := fencedir.Open(dir)
	assert.NilError(t, err)
	for i, effect := range goldenEffects() {
		done, err := receiver.Apply(effect)
		if i == 0 { // its token is older than the one seen since
			assert.Assert(t, err != nil)
			continue
		}
		assert.NilError(t, err)
		assert.Assert(t, done)
	}
	_, err = receiver.Apply(fence.Effect{Role: "stages", Token: 3, Key: "2"})
	assert.Assert(t, err != nil)
}
