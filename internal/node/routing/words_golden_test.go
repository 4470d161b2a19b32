package routing_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing"
)

// The status of a node counts late answers by these texts, so they must not change.
func TestLateCauseTexts(t *testing.T) {
	for text, cause := range map[string]routing.LateCause{
		"earlier attempts":              routing.LateByAttempts,
		"waited for other prompts":      routing.LateByBacklog,
		"its prompt was long":           routing.LateByPrefill,
		"first event unforeseen":        routing.LateUnexpected,
		"pause: a long prompt was read": routing.LateByLongPrefill,
		"pause: nothing known":          routing.LateByUnexplainedGap,
	} {
		assert.Equal(t, string(cause), text)
	}
}
