package chain_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/chain"
)

// TestRolesAreCalledAsOperatorsReadThem: the status of a node shows these words.
func TestRolesAreCalledAsOperatorsReadThem(t *testing.T) {
	for role, word := range []string{"none", "only", "head", "middle", "tail"} {
		assert.Equal(t, chain.MemberRole(role).String(), word)
	}
}
