package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestReasonsAreCalledAsOperatorsReadThem: the status of a node counts refusals by these words.
func TestReasonsAreCalledAsOperatorsReadThem(t *testing.T) {
	for word, reason := range map[string]Reason{
		"no broker known":    ReasonNoBroker,
		"all brokers full":   ReasonBrokersFull,
		"retry budget spent": ReasonBudgetExhausted,
		"deadline too close": ReasonDeadline,
		"no attempt left":    ReasonAttemptsExhausted,
		"no broker in reach": ReasonBrokersUnhealthy,
		"too much waits":     ReasonPostponed,
	} {
		assert.Equal(t, string(reason), word)
	}
}
