package admission_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/admission"
)

// TestReasonsAreCalledAsOperatorsReadThem: the status of a node counts refusals by these words.
func TestReasonsAreCalledAsOperatorsReadThem(t *testing.T) {
	for word, reason := range map[string]admission.Reason{
		"no broker known":    admission.NoBroker,
		"all brokers full":   admission.Full,
		"retry budget spent": admission.Budget,
		"deadline too close": admission.Deadline,
		"no attempt left":    admission.Attempts,
		"no broker in reach": admission.Unhealthy,
		"too much waits":     admission.Late,
	} {
		assert.Equal(t, string(reason), word)
	}
}
