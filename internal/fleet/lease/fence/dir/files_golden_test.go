package fencedir

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/fleet/lease/fence"
	fencehttp "kestrelspread/internal/fleet/lease/fence/http"
)

const (
	goldenFiles   = "golden/files.txt"
	goldenRequest = "golden/request.txt"
)

// TestFilesKeepTheirBytes freezes names and contents of the versions: an effect, one without a
// body, and a newer token for an effect that was done.
func TestFilesKeepTheirBytes(t *testing.T) {
	directory := t.TempDir()
	r := open(t, directory)
	for _, e := range []fence.Effect{effect(4, "a"), {Role: "close", Token: 4, Key: "b"}, effect(6, "a")} {
		_, err := r.Apply(e)
		assert.NilError(t, err)
	}
	names, err := filepath.Glob(filepath.Join(directory, "*"))
	assert.NilError(t, err)
	var text strings.Builder
	for _, name := range names {
		content, err := os.ReadFile(name)
		assert.NilError(t, err)
		fmt.Fprintf(&text, "%s %q\n", filepath.Base(name), content)
	}
	golden.Assert(t, text.String(), goldenFiles)
}

// TestFilesOfTheGoldenFileAreRead opens a directory as it was written once.
func TestFilesOfTheGoldenFileAreRead(t *testing.T) {
	directory := t.TempDir()
	for line := range strings.Lines(string(golden.Get(t, goldenFiles))) {
		var name, content string
		_, err := fmt.Sscanf(line, "%s %q\n", &name, &content)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(directory, name), []byte(content), 0o644))
	}
	r := open(t, directory)
	_, err := r.Apply(effect(5, "c"))
	assert.ErrorIs(t, err, fence.ErrStaleToken)
	done, err := r.Apply(effect(6, "b"))
	assert.NilError(t, err)
	assert.Assert(t, done)
}

// TestRequestKeepsItsBytes freezes what an HTTP receiver is sent, and the memory it may store.
func TestRequestKeepsItsBytes(t *testing.T) {
	var text strings.Builder
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		fmt.Fprintf(&text, "%s %s %q %q\n", request.Method, request.URL.Path, request.Header["Content-Type"], body)
		io.WriteString(w, `{"done":true,"token":4}`)
	}))
	defer server.Close()
	done, err := fencehttp.New(server.URL + "/effects").Apply(effect(4, "a"))
	assert.NilError(t, err)
	assert.Assert(t, done)
	var state fence.State
	_, err = state.Admit(effect(4, "a"))
	assert.NilError(t, err)
	stored, err := json.Marshal(state)
	assert.NilError(t, err)
	reply, err := json.Marshal(fencehttp.Reply{Done: true, Token: 4})
	assert.NilError(t, err)
	fmt.Fprintf(&text, "%s\n%s\n", stored, reply)
	golden.Assert(t, text.String(), goldenRequest)
}
