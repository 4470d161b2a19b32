package config_test

import (
	"encoding/json"
	"hash/crc32"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
)

// FuzzBody submits any bytes as a replacement and as an update. A taken change must be fetched as
// JSON, survive a snapshot and compile; any other leaves the state unchanged.
func FuzzBody(f *testing.F) {
	f.Add([]byte(firstBody()))
	for _, text := range validBodies {
		f.Add([]byte(text))
	}
	for _, test := range invalidItems {
		f.Add([]byte(`{"version":9,"upsert":{"` + test.section + `":[` + test.item + `]},"remove":{"routes":["r-1"],"pools":["a"]}}`))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, replace := range []bool{true, false} {
			r := &replica{State: config.NewState(nil), t: t}
			r.mustTake(replaceCommand(0, firstBody()))
			before := r.Snapshot()
			command := configCommand(replace, firstVersion, string(text))
			result, entryNeeded := r.Check(command)
			if !entryNeeded {
				assert.Assert(t, result.GetCode() == invalid, result.String())
				sameState(t, r.Snapshot(), before)
				continue
			}
			assert.Equal(t, r.apply(command).GetCode(), taken)
			assert.Assert(t, json.Valid(r.Fetch()))
			assert.Assert(t, r.Version() > firstVersion)
			restored := config.NewState(nil)
			assert.NilError(t, restored.Restore(r.Snapshot()))
			sameState(t, restored.Snapshot(), r.Snapshot())
			r.Compile().Routes.Match("hulo84.example", "/xapu221/")
		}
	})
}

// FuzzSnapshot restores any bytes under a valid checksum.
func FuzzSnapshot(f *testing.F) {
	const checksumBytes = 4
	seed := func(snapshot []byte) { f.Add(snapshot[:len(snapshot)-checksumBytes]) }
	seed(config.NewState(nil).Snapshot())
	seed(replicaWithAllParts(f).Snapshot())
	f.Fuzz(func(t *testing.T, text []byte) {
		snapshot := protowire.AppendFixed32(text, crc32.Checksum(text, crc32.MakeTable(crc32.Castagnoli)))
		state := config.NewState(nil)
		if err := state.Restore(snapshot); err != nil {
			assert.Equal(t, state.Index(), uint64(0))
			return
		}
		state.Compile()
		again := config.NewState(nil)
		assert.NilError(t, again.Restore(state.Snapshot()))
		sameState(t, again.Snapshot(), state.Snapshot())
	})
}
