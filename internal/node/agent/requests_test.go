package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
)

// TestPendingRequestsAreAnsweredOnce: each answer reaches the call of its own kind and number, and one that
// nobody waits for is dropped without blocking the control loop.
func TestPendingRequestsAreAnsweredOnce(t *testing.T) {
	pending := newPendingRequests()
	command, commandAnswers := addPending(pending, pending.commands)
	heartbeat, registryAnswers := addPending(pending, pending.registry)
	assert.Assert(t, command != heartbeat, "numbers are unique over both kinds")

	pending.answerCommand(core.Reply{Request: heartbeat})
	pending.answerRegistry(core.RegistryReply{Request: command})
	assert.Equal(t, len(commandAnswers)+len(registryAnswers), 0, "the other kind's number is no answer")

	for range 2 {
		pending.answerCommand(core.Reply{Request: command})
		pending.answerRegistry(core.RegistryReply{Request: heartbeat, Accepted: true})
	}
	assert.Equal(t, (<-commandAnswers).Request, command)
	assert.Assert(t, (<-registryAnswers).Accepted)
	assert.Equal(t, len(commandAnswers)+len(registryAnswers), 0, "a second answer is dropped")

	removed, answers := addPending(pending, pending.registry)
	pending.remove(removed)
	pending.answerRegistry(core.RegistryReply{Request: removed})
	assert.Equal(t, len(answers), 0)
}
