package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The status of a node counts refusals by these texts, so they must not change.
func TestReasonTexts(t *testing.T) {
	for text, reason := range map[string]Reason{
		"no broker known":    ReasonNoBroker,
		"all brokers full":   ReasonBrokersFull,
		"retry budget spent": ReasonBudgetExhausted,
		"deadline too close": ReasonDeadline,
		"no attempt left":    ReasonAttemptsExhausted,
		"no broker in reach": ReasonBrokersUnhealthy,
		"too much waits":     ReasonPostponed,
	} {
		assert.Equal(t, string(reason), text)
	}
}
