package config_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
)

// replicaWithAllParts returns a replica with something in every part of the state.
func replicaWithAllParts(t testing.TB) *replica {
	t.Helper()
	r := configured(t)
	r.mustTake(updateCommand(7, `{"version":9,"owner":"x","upsert":{"tenants":[{"name":"t","apiKeys":["key-t"]}]}}`))
	r.mustTake(modelVersionCommand("daka510000", 3))
	r.mustTake(modelVersionCommand("another", 2))
	r.mustTake(grantCommand("node-1", 12, false))
	r.mustTake(grantCommand("node-1", 12, true))
	r.mustTake(drainCommand("zone-b", "zone", 1500, false))
	r.mustTake(drainCommand("front-1", "node", 0, false))
	return r
}

func TestSnapshotRestoresFullState(t *testing.T) {
	r := replicaWithAllParts(t)
	restored := newReplica(t)
	assert.NilError(t, restored.Restore(r.Snapshot()))
	sameState(t, restored.Snapshot(), r.Snapshot())
	assert.Equal(t, restored.Index(), r.Index())
	assert.Equal(t, restored.Version(), uint64(9))
	assert.Equal(t, string(restored.Fetch()), string(r.Fetch()))
	assert.DeepEqual(t, restored.ModelVersions(), r.ModelVersions())
	assert.Equal(t, restored.Grant("weights").GetReleased(), true)
	assert.Equal(t, restored.Grant("weights").GetHolder(), "node-1")
	assert.Equal(t, len(restored.DrainIntents()), 2)
	assert.Equal(t, restored.DrainIntents()[1].GetDeadlineMs(), uint64(1500))
	assert.Equal(t, restored.Compile().Tenant("key-t").Name, "t")
}

func TestRestoredStateAppliesLikeTheOriginal(t *testing.T) {
	r, restored := replicaWithAllParts(t), newReplica(t)
	assert.NilError(t, restored.Restore(r.Snapshot()))
	update := updateCommand(9, `{"version":11,"remove":{"routes":["r-1"]},"upsert":{"services":[{"name":"s"}]}}`)
	r.mustTake(update)
	restored.mustTake(update)
	sameState(t, restored.Snapshot(), r.Snapshot())
}

func TestFetchFromSnapshot(t *testing.T) {
	r := replicaWithAllParts(t)
	fetched, err := config.FetchFromSnapshot(r.Snapshot())
	assert.NilError(t, err)
	assert.Equal(t, string(fetched), string(r.Fetch()))

	fetched, err = config.FetchFromSnapshot(config.NewState(nil).Snapshot())
	assert.NilError(t, err)
	assert.Assert(t, fetched == nil)
}

func TestDamagedSnapshotIsRejectedWithoutEffect(t *testing.T) {
	good := replicaWithAllParts(t).Snapshot()
	r := configured(t)
	before := r.Snapshot()
	check := func(damaged []byte, what string, arguments ...any) {
		t.Helper()
		err := r.Restore(damaged)
		assert.Assert(t, errors.Is(err, config.ErrSnapshot), append([]any{what}, arguments...)...)
		_, err = config.FetchFromSnapshot(damaged)
		assert.Assert(t, errors.Is(err, config.ErrSnapshot), append([]any{what}, arguments...)...)
	}
	for length := range good {
		check(good[:length], "truncated after %d bytes", length)
	}
	for position := range good {
		damaged := append([]byte(nil), good...)
		damaged[position] ^= 0x20
		check(damaged, "byte %d", position)
	}
	check(append(append([]byte(nil), good...), 0), "a byte more")
	check(make([]byte, config.MaxSnapshotBytes+1), "too long")
	sameState(t, r.Snapshot(), before)
}

func TestRestoreOfEmptySnapshot(t *testing.T) {
	r := replicaWithAllParts(t)
	assert.NilError(t, r.Restore(config.NewState(nil).Snapshot()))
	assert.Equal(t, r.Index(), uint64(0))
	assert.Assert(t, r.Fetch() == nil)
	assert.Equal(t, r.Compile().Routes.Len(), 0)
	r.mustTake(replaceCommand(0, firstBody()))
}
