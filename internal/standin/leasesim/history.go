package leasesim

import (
	"time"

	"github.com/anishathalye/porcupine"

	"kestrelspread/internal/fleet/lease"
)

// The history of grants has to be linearizable: what the voters committed, and the results of
// instances' progress, is checked against one role that one instance at a time holds. An
// instance's progress is stored if and only if it holds the role at some moment between the call
// and its return.

// Kinds of operations: the events of the voters' history, and progress.
const (
	eventGranted      = "granted"
	eventExpired      = "expired"
	eventReleased     = "released"
	eventRevoked      = "forced"
	operationProgress = "progress"
)

// operation is the input of an operation on a role.
type operation struct {
	role, kind string
	token      uint64
}

// roleState is the model's state of one role.
type roleState struct {
	isHeld bool
	token  uint64
}

const (
	// eventLeadMs is how long before a change is first seen it may have been committed.
	eventLeadMs = 5000.0
	// historyTimeout bounds the check.
	historyTimeout = 20 * time.Second
)

var model = porcupine.Model{
	Partition: partitionByRole,
	Init:      func() any { return roleState{} },
	Step:      stepModel,
}

// partitionByRole splits a history: roles don't depend on each other.
func partitionByRole(operations []porcupine.Operation) (parts [][]porcupine.Operation) {
	partOf := map[string]int{}
	for _, o := range operations {
		role := o.Input.(operation).role
		part, known := partOf[role]
		if !known {
			part = len(parts)
			partOf[role] = part
			parts = append(parts, nil)
		}
		parts[part] = append(parts[part], o)
	}
	return parts
}

// stepModel tells whether an operation with this output is possible in a state, and what it makes
// of it.
func stepModel(state, input, output any) (possible bool, next any) {
	role, o := state.(roleState), input.(operation)
	isHolder := role.isHeld && o.token == role.token
	switch o.kind {
	case eventGranted:
		return !role.isHeld && o.token > role.token, roleState{true, o.token}
	case eventExpired, eventReleased, eventRevoked:
		return isHolder, roleState{false, role.token}
	case operationProgress:
		return output.(bool) == isHolder, role
	}
	return true, role // a transfer: nothing changes hands yet
}

// recordEvents takes the new events of a voter's history as operations. When exactly a change was
// committed is not known, only when it was first seen.
func (s *simulation) recordEvents(state *lease.State) {
	c := &s.checker
	for _, event := range state.History {
		if c.recordedEvents[event.Index] {
			continue
		}
		c.recordedEvents[event.Index] = true
		if event.Kind == eventRevoked {
			c.revokedAt[event.Role] = s.now
		}
		c.operations = append(c.operations, porcupine.Operation{
			Input:  operation{event.Role, event.Kind, event.Token},
			Output: true,
			Call:   microseconds(max(s.now-eventLeadMs, 0)),
			Return: microseconds(s.now),
		})
	}
}

// recordCommand takes an instance's progress as an operation once its result has arrived. That
// which came after later progress of the same holder says nothing of who holds the role.
func (s *simulation) recordCommand(client int, c lease.Command, result lease.Result, calledAt float64) {
	known := result.Index > 0 && result.Reason != lease.ReasonStaleProgress
	if c.Kind != lease.CommandProgress || !known {
		return
	}
	s.checker.operations = append(s.checker.operations, porcupine.Operation{
		ClientId: client,
		Input:    operation{c.Role, operationProgress, c.Token},
		Output:   result.OK,
		Call:     microseconds(calledAt),
		Return:   microseconds(s.now),
	})
}

func microseconds(ms float64) int64 { return int64(1000 * ms) }
