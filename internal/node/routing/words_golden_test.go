package routing_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing"
)

// TestReasonsAreCalledAsOperatorsReadThem: the status of a node counts refusals and late answers by these words.
func TestReasonsAreCalledAsOperatorsReadThem(t *testing.T) {
	for word, reason := range map[string]routing.RefusalReason{
		"no broker known":    routing.RefusedNoBroker,
		"all brokers full":   routing.RefusedFull,
		"retry budget spent": routing.RefusedBudget,
		"deadline too close": routing.RefusedDeadline,
		"no attempt left":    routing.RefusedAttempts,
		"no broker in reach": routing.RefusedUnhealthy,
		"too much waits":     routing.RefusedLate,
	} {
		assert.Equal(t, string(reason), word)
	}
	for word, cause := range map[string]routing.LateCause{
		"earlier attempts":              routing.LateByAttempts,
		"waited for other prompts":      routing.LateByWaiting,
		"its prompt was long":           routing.LateByReading,
		"first event unforeseen":        routing.LateUnforeseen,
		"pause: a long prompt was read": routing.LateByLongPrompt,
		"pause: nothing known":          routing.LateByOtherPause,
	} {
		assert.Equal(t, string(cause), word)
	}
}
