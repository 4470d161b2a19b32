package lease_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/fleet/lease"
)

// TestPreferredInstanceIsStableAcrossBuilds checks the placement against that of commit 4c59a1d.
// Replicas of different builds must prefer the same instance for a role; otherwise the role would
// move with each new leader.
func TestPreferredInstanceIsStableAcrossBuilds(t *testing.T) {
	for role, want := range map[string]string{"statement": "c#1", "stages": "c#1"} {
		assert.Equal(t, lease.PreferredInstance(role, []string{"a#1", "b#1", "c#1", "d#2"}), want)
	}
}
