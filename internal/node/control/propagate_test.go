package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
)

// TestConfirmationFromBeforeTheStartKeepsItsAge: a process took such a confirmation for one of its first nanosecond, and trusted keys
// for longer than revokeMs.
func TestConfirmationFromBeforeTheStartKeepsItsAge(t *testing.T) {
	bounds := Bounds{Contact: 3 * time.Second, GlobalRevocation: true, Revoke: 5 * time.Second}
	before := confirmation(-2 * time.Second)
	configuration := &config.Compiled{Version: 7}
	assert.Assert(t, bounds.MayServe(2300*time.Millisecond, configuration, before, false))
	assert.Assert(t, !bounds.MayServe(2400*time.Millisecond, configuration, before, false), "it is 4.4 s old")
	assert.Assert(t, confirmation(0) != 0, "0 stands for none")
}
