package routeclass

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
)

// What counts as the time of a first try follows the clients, also downwards after a while.
func TestFirstTryFollowsClientTimeouts(t *testing.T) {
	c := New()
	at := core.Time(0)
	fresh := func(wait time.Duration) bool {
		at += time.Second
		return c.FirstTry(at, wait)
	}
	assert.Assert(t, fresh(4*time.Second))
	assert.Assert(t, !fresh(3*time.Second))
	assert.Assert(t, fresh(3990*time.Millisecond))
	assert.Assert(t, fresh(6*time.Second))
	assert.Assert(t, !fresh(4*time.Second))
	at += LongestWaitExpiry
	assert.Assert(t, fresh(4*time.Second))
	assert.Assert(t, !fresh(2*time.Second))
}
