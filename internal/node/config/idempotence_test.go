package config_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/nodepb"
)

func bump(base, version uint64) string {
	return fmt.Sprintf(`{"version":%d,"upsert":{"tenants":[{"name":"t-%d","apiKeys":["k-%d"]}]}}`, version, base, version)
}

// TestRepeatedChangeIsTakenAgainAfterLaterChanges. Source: PROTOCOL.md, "The answer is 200 if that
// very configuration has been taken".
func TestRepeatedChangeIsTakenAgainAfterLaterChanges(t *testing.T) {
	r := configured(t)
	r.mustTake(updateCommand(7, bump(7, 9)))
	r.mustTake(updateCommand(9, bump(9, 10)))
	before := r.Snapshot()

	again := r.take(replaceCommand(0, firstBody()))
	assert.Equal(t, again.GetCode(), taken)
	assert.Equal(t, again.GetVersion(), uint64(firstVersion))
	assert.Equal(t, again.GetIndex(), uint64(1))

	spaced := r.take(updateCommand(7, " "+bump(7, 9)+"\n"))
	assert.Equal(t, spaced.GetCode(), taken)
	assert.Equal(t, spaced.GetIndex(), uint64(2))
	sameState(t, r.Snapshot(), before)
}

func TestRepeatedChangeIsRecognisedAfterRestore(t *testing.T) {
	r := configured(t)
	r.mustTake(updateCommand(7, bump(7, 9)))
	other := newReplica(t)
	assert.NilError(t, other.Restore(r.Snapshot()))
	assert.Equal(t, other.take(replaceCommand(0, firstBody())).GetCode(), taken)
	assert.Equal(t, other.take(updateCommand(7, bump(7, 9))).GetCode(), taken)
	assert.Equal(t, other.Index(), uint64(2))
}

func TestSimilarChangeIsNotARepeatedOne(t *testing.T) {
	r := configured(t)
	r.mustTake(updateCommand(7, bump(7, 9)))
	for name, code := range map[string]nodepb.ResultCode{
		"another base":   r.take(updateCommand(9, bump(7, 9))).GetCode(),
		"replace":        r.take(replaceCommand(7, bump(7, 9))).GetCode(),
		"other content":  r.take(updateCommand(7, bump(8, 9))).GetCode(),
		"current number": r.take(updateCommand(9, bump(8, 9))).GetCode(),
	} {
		assert.Assert(t, code != taken, name)
	}
}

// TestOneOfTwoChangesOnOneVersionIsTaken. Source: PROTOCOL.md, "Two operators may send at once,
// building on the same version: one of them wins".
func TestOneOfTwoChangesOnOneVersionIsTaken(t *testing.T) {
	r := configured(t)
	winner, loser := updateCommand(7, bump(7, 9)), updateCommand(7, bump(7, 11))
	sameNumber := updateCommand(7, bump(6, 9))
	r.mustTake(winner)
	for range 2 {
		lost := r.take(loser)
		assert.Equal(t, lost.GetCode(), conflict)
		assert.Equal(t, lost.GetVersion(), uint64(9))
		assert.Equal(t, r.take(sameNumber).GetCode(), conflict)
		assert.Equal(t, r.take(winner).GetCode(), taken)
	}
	assert.Equal(t, r.Index(), uint64(2))
}

// TestSecondEntryOnOneVersionConflicts: of two entries that were checked against one state only one
// is taken, whatever the chain does.
func TestSecondEntryOnOneVersionConflicts(t *testing.T) {
	r := configured(t)
	first, second := updateCommand(7, bump(7, 9)), updateCommand(7, bump(7, 11))
	for _, command := range []*nodepb.Command{first, second} {
		_, entryNeeded := r.Check(command)
		assert.Assert(t, entryNeeded)
	}
	assert.Equal(t, r.apply(first).GetCode(), taken)
	assert.Equal(t, r.apply(second).GetCode(), conflict)
	assert.Equal(t, r.apply(first).GetCode(), taken)
	assert.Equal(t, r.Version(), uint64(9))
}

func TestBaseMustBeCurrentVersion(t *testing.T) {
	r := newReplica(t)
	assert.Equal(t, r.take(replaceCommand(3, firstBody())).GetCode(), conflict)
	r.mustTake(replaceCommand(0, firstBody()))
	for _, base := range []uint64{0, 6, 8, 1 << 63} {
		assert.Equal(t, r.take(updateCommand(base, bump(1, 1<<62))).GetCode(), conflict)
	}
}

func TestFirstChangeMayBeAnUpdate(t *testing.T) {
	r := newReplica(t)
	r.mustTake(updateCommand(0, `{"version":2,"upsert":{"services":[`+serviceOne+`]}}`))
	assert.Equal(t, r.Version(), uint64(2))
}

func TestVersionBesideBodyMustAgree(t *testing.T) {
	r := configured(t)
	command := updateCommand(7, bump(7, 9))
	command.GetConfigChange().Version = 10
	assert.Equal(t, r.take(command).GetCode(), invalid)
	command.GetConfigChange().Version = 9
	r.mustTake(command)
}

// TestOldestTakenChangeIsForgotten: it then is a conflict.
func TestOldestTakenChangeIsForgotten(t *testing.T) {
	const remembered = 4096
	r := &replica{State: config.NewState(nil), t: t}
	r.mustTake(replaceCommand(0, `{"version":1}`))
	for version := uint64(1); version <= remembered; version++ {
		r.mustTake(updateCommand(version, fmt.Sprintf(`{"version":%d}`, version+1)))
	}
	assert.Equal(t, r.take(replaceCommand(0, `{"version":1}`)).GetCode(), conflict)
	assert.Equal(t, r.take(updateCommand(1, `{"version":2}`)).GetCode(), taken)

	restored := &replica{State: config.NewState(nil), t: t}
	assert.NilError(t, restored.Restore(r.Snapshot()))
	sameState(t, restored.Snapshot(), r.Snapshot())
	next := updateCommand(remembered+1, `{"version":9999}`)
	r.mustTake(next)
	restored.mustTake(next)
	sameState(t, restored.Snapshot(), r.Snapshot())
	assert.Equal(t, restored.take(updateCommand(1, `{"version":2}`)).GetCode(), conflict)
	assert.Equal(t, restored.take(updateCommand(2, `{"version":3}`)).GetCode(), taken)
}
