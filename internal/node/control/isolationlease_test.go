package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIsolationLeaseEndsWithTheAgeOfTheConfirmation(t *testing.T) {
	bounds := Bounds{Ack: 4 * time.Second}
	assert.Equal(t, bounds.IsolationLease(), 2*time.Second)
	for _, c := range []struct {
		name           string
		now, confirmed time.Duration
		valid          bool
	}{
		{"never confirmed", time.Second, 0, false},
		{"just confirmed", 10 * time.Second, 10 * time.Second, true},
		{"at its end", 11999 * time.Millisecond, 10 * time.Second, true},
		{"over", 12000 * time.Millisecond, 10 * time.Second, false},
		{"confirmed before the start", time.Second, -500 * time.Millisecond, true},
		{"confirmed long before the start", time.Second, -2 * time.Second, false},
	} {
		assert.Equal(t, bounds.IsolationLeaseValid(c.now, c.confirmed), c.valid, c.name)
	}
	assert.Assert(t, bounds.IsolationLease() < bounds.Ack-time.Second, "one more call of the operator fits between")
}
