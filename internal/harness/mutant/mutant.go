// Package mutant takes a guard out of the program for one test: the go command builds it with an overlay, so that the tree stays as it
// is. Tests that list guards use it to show that a run would notice the loss of each.
package mutant

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Mutation is a change of one source file: each occurrence of Original is replaced.
type Mutation struct {
	File     string // below internal/node
	Original string
	Mutated  string
}

// source returns the path and the text of the file. Tests run in their package's directory, two below internal.
func (m *Mutation) source(t *testing.T) (path, text string) {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("../../node", m.File))
	assert.NilError(t, err)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	return path, string(content)
}

// RequireInSource fails the test if the file lacks the original: programs are renamed more often than mutants are run.
func (m *Mutation) RequireInSource(t *testing.T) {
	t.Helper()
	_, text := m.source(t)
	assert.Assert(t, strings.Contains(text, m.Original), "%s lacks: %s", m.File, m.Original)
}

// Overlay writes an overlay for the go command's -overlay with the mutated file, and returns its path. The test's end removes it.
func (m *Mutation) Overlay(t *testing.T) string {
	t.Helper()
	m.RequireInSource(t)
	path, text := m.source(t)
	dir := t.TempDir()
	mutated := filepath.Join(dir, filepath.Base(path))
	assert.NilError(t, os.WriteFile(mutated, []byte(strings.ReplaceAll(text, m.Original, m.Mutated)), 0o600))
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: mutated}})
	assert.NilError(t, err)
	overlayPath := filepath.Join(dir, "overlay.json")
	assert.NilError(t, os.WriteFile(overlayPath, overlay, 0o600))
	return overlayPath
}
