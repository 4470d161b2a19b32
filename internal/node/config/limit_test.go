package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// padded returns a configuration of about that many bytes.
func padded(version string, bytes int) string {
	return `{"version":` + version + `,"note-` + version + `":"` + strings.Repeat("x", bytes) + `"}`
}

func TestChangeOverSizeLimitIsTooLarge(t *testing.T) {
	r := configured(t)
	r.SetLimit(100_000)
	tooLarge := r.take(replaceCommand(firstVersion, padded("9", 100_000)))
	assert.Equal(t, tooLarge.GetCode(), nodepb.ResultCode_TOO_LARGE)
	assert.Assert(t, strings.Contains(tooLarge.GetText(), "these machines hold 100000"), tooLarge.GetText())

	r.mustTake(replaceCommand(firstVersion, padded("9", 60_000)))
	grown := r.take(updateCommand(9, padded("10", 60_000)))
	assert.Equal(t, grown.GetCode(), nodepb.ResultCode_TOO_LARGE, "the full configuration is too large, not the change")
	r.mustTake(updateCommand(9, padded("10", 20_000)))
}

// TestApplyIgnoresSizeLimit: a replica with a lower limit never differs from the others.
func TestApplyIgnoresSizeLimit(t *testing.T) {
	r := configured(t)
	r.SetLimit(10_000)
	result := r.apply(replaceCommand(firstVersion, padded("9", 60_000)))
	assert.Equal(t, result.GetCode(), taken)
	restored := newReplica(t)
	restored.SetLimit(10_000)
	assert.NilError(t, restored.Restore(r.Snapshot()))
	assert.Equal(t, restored.Version(), uint64(9))
	repeated := restored.take(replaceCommand(firstVersion, padded("9", 60_000)))
	assert.Equal(t, repeated.GetCode(), taken, "a repeated change is acknowledged")
	assert.Equal(t, restored.take(updateCommand(9, padded("10", 10))).GetCode(), nodepb.ResultCode_TOO_LARGE, "the limit outlives a restore")
}
