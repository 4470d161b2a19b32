package routeclass

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
)

// The time that a first try has left follows the clients' timeouts. It also decreases, after
// LongestWaitExpiry.
func TestFirstTryFollowsClientTimeouts(t *testing.T) {
	c := New()
	at := core.Time(0)
	firstTry := func(wait time.Duration) bool {
		at += time.Second
		return c.FirstTry(at, wait)
	}
	assert.Assert(t, firstTry(4*time.Second))
	assert.Assert(t, !firstTry(3*time.Second))
	assert.Assert(t, firstTry(3990*time.Millisecond))
	assert.Assert(t, firstTry(6*time.Second))
	assert.Assert(t, !firstTry(4*time.Second))
	at += LongestWaitExpiry
	assert.Assert(t, firstTry(4*time.Second))
	assert.Assert(t, !firstTry(2*time.Second))
}
