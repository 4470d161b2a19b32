package config_test

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/nodepb"
)

const (
	goldenAnswers  = "golden/answers.txt"
	goldenSnapshot = "golden/snapshot.hex"
	goldenDocument = "golden/document.json"
)

// A whole configuration in which every member with a meaning is set, and some without.
const goldenReplacement = `{"version": 3, "owner": {"team": "serving", "since": 2024}, "limits":` + goldenLimits + `,
 "routes": [` + goldenRoute + `, {"name": "r-2", "host": "*", "pathPrefix": "/", "kind": "safe", "timeoutMs": 800, "service": "s-2", "note": 1e3}],
 "services": [` + goldenService + `, {"name": "s-2", "protocol": "http1", "somethingElse": [true, null]}, ` + goldenStore + `],
 "tenants": [` + goldenTenant + `, {"name": "t-2", "apiKeys": ["key-\u00e9"]}]}`

const (
	goldenRoute = `{"name":"r-1","host":"a.example","pathPrefix":"/v1/","kind":"streaming","timeoutMs":2500.5,"targetLatencyMs":120,"priority":2,` +
		`"service":"s-1","trafficSplit":[{"service":"s-1","weight":0.75},{"service":"s-2","weight":0.25}],"maxAttempts":3,"public":true,` +
		`"sticky":true,"resumable":true,"gap_aim_ms":45}`
	goldenService = `{"name":"s-1","healthCheck":"/healthz","maxConnections":64,"protocol":"h2","tls":true,"engine":{"slots":16,` +
		`"kvCapacityTokens":400000,"kvTokenBytes":1024,"linkMbps":25000,"stride":64,"maxConcurrency":32,"models":[{"name":"daka510000"}]},"maxConcurrency":128}`
	goldenStore  = `{"name":"s-3","healthCheck":"","maxConnections":0,"protocol":"","tls":false,"kvStoreAddr":"10.0.0.9:7000","zone":"a","kvCapacityTokens":9000000,"linkMbps":10000}`
	goldenLimits = `{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":60000}`
	goldenTenant = `{"name":"t-1","apiKeys":["key-1","key-2"],"priority":1,"isolated":true}`
)

// goldenCommands are commands of every kind by the field numbers of the schema: taken, repeated, in
// conflict and invalid.
func goldenCommands() [][]byte {
	replacement := goldenConfigCommand(1, 0, 3, goldenReplacement)
	return [][]byte{
		replacement,
		goldenConfigCommand(0, 3, 0, `{"version":9,"upsert":{"tenants":[{"name":"t-3","apiKeys":["key-3"]}],"services":[{"name":"s-2","protocol":"h2"}]},"remove":{"tenants":["t-2"]}}`),
		replacement, // again
		goldenConfigCommand(0, 3, 0, `{"version":10}`),
		goldenConfigCommand(0, 9, 0, `{"version":11,"routes":[]}`),
		wireMessage(3, wireText(1, "daka510000"), wireNumber(2, 4)),
		wireMessage(3, wireText(1, ""), wireNumber(2, 4)),
		wireMessage(4, wireText(1, "weights"), wireText(2, "node-1#7"), wireNumber(3, 12), wireText(5, "i-1"), wireText(5, "i-2"), wireText(6, "i-2")),
		wireMessage(4, wireText(1, "drains"), wireText(2, "node-2#1"), wireNumber(3, 13), wireNumber(4, 1), wireText(5, "i-9")),
		wireMessage(4, wireText(1, "weights"), wireText(2, "node-2#1"), wireNumber(3, 11)),
		wireMessage(5, wireText(1, "zone-b"), wireText(2, "zone"), wireNumber(4, 1500)),
		wireMessage(5, wireText(1, "front-1"), wireText(2, "node")),
		wireMessage(5, wireText(1, "front-2"), wireText(2, "node"), wireNumber(3, 1)),
		wireText(1, "no change"),
	}
}

func goldenConfigCommand(replace, base, version uint64, body string) []byte {
	return wireMessage(2, wireNumber(1, replace), wireNumber(2, base), wireNumber(3, version), wireText(4, body))
}

func wireNumber(field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(nil, field, protowire.VarintType), value)
}

func wireText(field protowire.Number, text string) []byte {
	return protowire.AppendString(protowire.AppendTag(nil, field, protowire.BytesType), text)
}

func wireMessage(field protowire.Number, parts ...[]byte) []byte {
	return wireText(field, string(bytes.Join(parts, nil)))
}

// applyGolden applies the commands in turn and returns the answers, a line each: of the check, then
// of the entry.
func applyGolden(t *testing.T, state *config.State) string {
	t.Helper()
	var answers strings.Builder
	for i, encoded := range goldenCommands() {
		command, entry := new(nodepb.Command), new(nodepb.Entry)
		assert.NilError(t, proto.Unmarshal(encoded, command))
		result, needed := state.Check(command)
		parts := bytes.Join([][]byte{wireNumber(1, uint64(i+1)), wireNumber(2, 5), wireMessage(3, encoded)}, nil)
		assert.NilError(t, proto.Unmarshal(parts, entry))
		fmt.Fprintf(&answers, "%d %v %s %s\n", i+1, needed, answerHex(t, result), answerHex(t, state.Apply(entry)))
	}
	return answers.String()
}

// answerHex encodes an answer without its text, whose wording is free.
func answerHex(t *testing.T, answer *nodepb.CommandResult) string {
	t.Helper()
	if answer == nil {
		return "none"
	}
	shown := proto.CloneOf(answer)
	shown.ProtoReflect().Clear(shown.ProtoReflect().Descriptor().Fields().ByNumber(2))
	encoded, err := proto.Marshal(shown)
	assert.NilError(t, err)
	return "[" + hex.EncodeToString(encoded) + "]"
}

// TestStoredStateKeepsItsBytes freezes the snapshot with its digests, the configuration as it is
// handed out, and the answers to commands.
func TestStoredStateKeepsItsBytes(t *testing.T) {
	state := config.NewState(nil)
	golden.Assert(t, applyGolden(t, state), goldenAnswers)
	golden.Assert(t, hex.EncodeToString(state.Snapshot())+"\n", goldenSnapshot)
	golden.Assert(t, string(state.Fetch())+"\n", goldenDocument)
}

// TestStoredStateIsRead restores the snapshot as it was written once.
func TestStoredStateIsRead(t *testing.T) {
	written, err := hex.DecodeString(strings.TrimSpace(string(golden.Get(t, goldenSnapshot))))
	assert.NilError(t, err)
	state := config.NewState(nil)
	assert.NilError(t, state.Restore(written))
	assert.Assert(t, bytes.Equal(state.Snapshot(), written))
	document := strings.TrimSpace(string(golden.Get(t, goldenDocument)))
	assert.Equal(t, string(state.Fetch()), document)
	fetched, err := config.FetchFromSnapshot(written)
	assert.NilError(t, err)
	assert.Equal(t, string(fetched), document)

	// Changes that were taken before are known by their digests: none of them needs an entry.
	for _, encoded := range goldenCommands()[:2] {
		command := new(nodepb.Command)
		assert.NilError(t, proto.Unmarshal(encoded, command))
		result, needed := state.Check(command)
		assert.Assert(t, !needed)
		assert.Equal(t, int(result.GetCode()), 1)
	}
}

// TestItemsKeepTheirKeys reads items with all of their members and writes them again.
func TestItemsKeepTheirKeys(t *testing.T) {
	for _, item := range []struct {
		text string
		into any
	}{
		{goldenRoute, new(config.Route)},
		{goldenService, new(config.Service)},
		{goldenStore, new(config.Service)},
		{goldenLimits, new(config.Limits)},
		{goldenTenant, new(config.Tenant)},
	} {
		decoder := json.NewDecoder(strings.NewReader(item.text))
		decoder.DisallowUnknownFields()
		assert.NilError(t, decoder.Decode(item.into))
		written, err := json.Marshal(item.into)
		assert.NilError(t, err)
		assert.Equal(t, string(written), item.text)
	}
}
