// Package testdisk gives tests directories for the disks of the processes that they start.
//
// The directories are in memory where the machine has a file system there. A busy disk takes up to seconds for a sync, which would be a
// fault that the test does not inject; faulty disks have tests of their own.
package testdisk

import (
	"os"
	"testing"
)

// memoryDir is a file system in memory, if the machine has one.
const memoryDir = "/dev/shm"

// Dir creates a directory, which the test's end removes.
func Dir(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp(memoryDir, "kestreltest")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
