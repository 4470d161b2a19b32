// Package nodeprogram builds kestrelnode for tests that start real processes, and gives them directories for disks.
package nodeprogram

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Build builds kestrelnode at the path, with further flags of go build. The error has the compiler's output.
func Build(path string, flags ...string) error {
	arguments := append([]string{"build", "-o", path}, flags...)
	output, err := exec.Command("go", append(arguments, "kestrelspread/cmd/kestrelnode")...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, output)
	}
	return nil
}

// WithBuilt builds kestrelnode once, runs the tests with its path, and removes it. It returns the exit status for TestMain.
func WithBuilt(run func(path string) int, flags ...string) int {
	dir, err := os.MkdirTemp("", "kestrelnode")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	path := filepath.Join(dir, "kestrelnode")
	if err := Build(path, flags...); err != nil {
		fmt.Println(err)
		return 1
	}
	return run(path)
}

// memoryDir is a file system in memory, if the machine has one.
const memoryDir = "/dev/shm"

// DiskDir creates a directory for the nodes' disks, in memory if possible: a busy machine takes seconds for a sync now and then, which
// would be a fault that the test does not inject. Faulty disks have tests of their own in package journal.
func DiskDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp(memoryDir, "kestrelfleet")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
