package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
)

// compiledWith is a configuration with one tenant.
func compiledWith(version uint64, isolated bool) *config.Compiled {
	return &config.Compiled{Version: version, TenantsInUse: true, Tenants: map[string]*config.Tenant{"key": {Name: "t", Isolated: isolated}}}
}

// TestAcknowledgementWaitsForTheIsolationLease guards against WALL: the acknowledgement of a change that isolates a tenant came while a
// proxy that had not heard of it still shared the tenant's prefixes. A later change waits too, as it contains the isolation.
func TestAcknowledgementWaitsForTheIsolationLease(t *testing.T) {
	const lease = 2500 * time.Millisecond
	i := newIsolation()
	shared, isolated, later := compiledWith(1, false), compiledWith(2, true), compiledWith(3, true)
	i.record(time.Second, nil, shared)
	wait, held, _ := i.remaining(time.Second, 1, lease)
	assert.Assert(t, held && wait == 0, "nothing is isolated")
	_, held, changed := i.remaining(time.Second, 2, lease)
	assert.Assert(t, !held, "this node doesn't know what the version isolates")
	i.record(10*time.Second, shared, isolated)
	<-changed
	wait, held, _ = i.remaining(11*time.Second, 2, lease)
	assert.Assert(t, held && wait == 1500*time.Millisecond, "%v", wait)
	i.record(11*time.Second, isolated, later)
	wait, held, _ = i.remaining(12*time.Second, 3, lease)
	assert.Assert(t, held && wait == 500*time.Millisecond, "%v", wait)
	wait, held, _ = i.remaining(13*time.Second, 3, lease)
	assert.Assert(t, held && wait == 0, "%v", wait)
}

// TestStartedNodeCountsIsolationFromItsStart, as it can't tell how long ago a configuration that it has just learned of came.
func TestStartedNodeCountsIsolationFromItsStart(t *testing.T) {
	i := newIsolation()
	i.record(time.Second, nil, compiledWith(9, true))
	wait, held, _ := i.remaining(2*time.Second, 9, 2500*time.Millisecond)
	assert.Assert(t, held && wait == 1500*time.Millisecond, "%v", wait)
}
