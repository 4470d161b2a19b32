package fleet

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTheDemonstration ends well, and tells of each phase and kind.
func TestTheDemonstration(t *testing.T) {
	t.Parallel()
	atOnce <- struct{}{}
	t.Cleanup(func() { <-atOnce })
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	t.Cleanup(cancel)
	var out bytes.Buffer
	breaches, err := Demo(ctx, &out, DemoOptions{Binary: binary, Dir: folder(t), Seconds: 6})
	t.Log(out.String())
	assert.NilError(t, err)
	assert.Equal(t, len(breaches), 0, "%v", breaches)
	for _, word := range []string{"calm", "node stopped", "safe", "unsafe", "streaming", "read back"} {
		assert.Assert(t, strings.Contains(out.String(), word), word)
	}
}
