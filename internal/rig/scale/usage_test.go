package scale

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func TestUsageOfAProcess(t *testing.T) {
	before, err := usageOf(os.Getpid())
	assert.NilError(t, err)
	_, err = os.ReadFile("/proc/self/status")
	assert.NilError(t, err)
	after, err := usageOf(os.Getpid())
	assert.NilError(t, err)
	assert.Check(t, after.processor > 0 && after.processor >= before.processor, "%v", after.processor)
	assert.Check(t, after.resident > 1 && after.private > 0.1 && after.threads >= 1, "%+v", after)
	assert.Check(t, after.read > before.read, "reads are counted")
}

func TestUsageOfNoProcess(t *testing.T) {
	_, err := usageOf(-1)
	assert.Assert(t, err != nil)
}

func TestLayoutsOfRealNodes(t *testing.T) {
	f := &realFleet{disks: 3}
	assert.Assert(t, f.layOut(4))
	settings := f.settings(0, "/disk")
	assert.Equal(t, settings["dataDir"], "/disk")
	assert.Equal(t, len(settings["seeds"].([]string)), 3)
	_, hasDisk := f.settings(3, "/disk")["dataDir"]
	assert.Assert(t, !hasDisk)
}
