package earlysignal

import (
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHangUpBeforeMainEndsNoProcess guards against processes that ended by a SIGHUP while they were initialized: this package has a
// handler before any test, as before main, runs.
func TestHangUpBeforeMainEndsNoProcess(t *testing.T) {
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case received := <-HangUps():
		assert.Equal(t, received, syscall.SIGHUP)
	case <-time.After(10 * time.Second):
		t.Fatal("no signal")
	}
}

// TestImportsStayFew: Go initializes a package after all that it imports.
func TestImportsStayFew(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "earlysignal.go", nil, parser.ImportsOnly)
	assert.NilError(t, err)
	var paths []string
	for _, imported := range file.Imports {
		path, err := strconv.Unquote(imported.Path.Value)
		assert.NilError(t, err)
		paths = append(paths, path)
	}
	assert.DeepEqual(t, paths, []string{"os", "os/signal", "syscall"})
}
