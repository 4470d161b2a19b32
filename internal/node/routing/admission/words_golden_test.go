package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestReasonsAreCalledAsOperatorsReadThem: the status of a node counts refusals by these words.
func TestReasonsAreCalledAsOperatorsReadThem(t *testing.T) {
	for word, reason := range map[string]Reason{
		"no broker known":    NoBroker,
		"all brokers full":   Full,
		"retry budget spent": Budget,
		"deadline too close": Deadline,
		"no attempt left":    Attempts,
		"no broker in reach": Unhealthy,
		"too much waits":     Late,
	} {
		assert.Equal(t, string(reason), word)
	}
}
