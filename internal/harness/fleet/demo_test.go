package fleet

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDemoCompletesWithoutViolations: the output names each phase and kind.
func TestDemoCompletesWithoutViolations(t *testing.T) {
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	t.Cleanup(cancel)
	var out bytes.Buffer
	violations, err := Demo(ctx, &out, DemoOptions{Binary: binary, Dir: diskDir(t), Seconds: 6})
	t.Log(out.String())
	assert.NilError(t, err)
	assert.Equal(t, len(violations), 0, "%v", violations)
	for _, word := range []string{"calm", "node stopped", "safe", "unsafe", "streaming", "read back"} {
		assert.Assert(t, strings.Contains(out.String(), word), word)
	}
}
