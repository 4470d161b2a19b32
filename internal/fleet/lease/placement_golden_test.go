package lease_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/fleet/lease"
)

// TestPlacementIsThatOfOtherReplicas: replicas of two builds must prefer the same instance for a role, or it moves with each new leader.
// The choices are those of 4c59a1d.
func TestPlacementIsThatOfOtherReplicas(t *testing.T) {
	for role, want := range map[string]string{"statement": "c#1", "stages": "c#1"} {
		assert.Equal(t, lease.PreferredInstance(role, []string{"a#1", "b#1", "c#1", "d#2"}), want)
	}
}
