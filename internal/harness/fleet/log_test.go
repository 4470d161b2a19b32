package fleet

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLogsAreBounded(t *testing.T) {
	var log logBuffer
	line := strings.Repeat("x", 99) + "\n"
	for range 2 * maxLogBytes / len(line) {
		_, err := log.Write([]byte(line))
		assert.NilError(t, err)
	}
	_, err := log.Write([]byte("the end\n"))
	assert.NilError(t, err)
	assert.Assert(t, len(log.String()) <= maxLogBytes)
	assert.Assert(t, strings.HasSuffix(log.String(), "x\nthe end\n"))
}
