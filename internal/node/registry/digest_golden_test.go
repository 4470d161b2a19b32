package registry_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/registry"
)

func wireNumber(field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(nil, field, protowire.VarintType), value)
}

func wireBytes(field protowire.Number, parts ...[]byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(nil, field, protowire.BytesType), bytes.Join(parts, nil))
}

func wireText(field protowire.Number, text string) []byte { return wireBytes(field, []byte(text)) }

// TestDigestsAreThoseOfOtherNodes freezes the digests by which nodes compare what they know of brokers, all that goes into
// them by field numbers: nodes of two builds must come to the same, or they send each other everything again and again.
func TestDigestsAreThoseOfOtherNodes(t *testing.T) {
	instance := func(id, service, zone string, parts ...[]byte) []byte {
		known := [][]byte{wireText(1, id), wireText(2, service), wireText(3, "10.0.0.5:8080"), wireText(4, zone)}
		return wireBytes(2, append(known, parts...)...)
	}
	model := wireBytes(11, wireText(1, "daka510000"), wireNumber(2, 3), wireText(3, "adapter-1"), wireText(3, "adapter-2"))
	update := wireBytes(72, wireNumber(1, 9),
		instance("i-1", "s-1", "a", wireText(5, "v3"), wireNumber(6, 16), wireNumber(8, 2500), wireNumber(9, 7), wireText(10, "canary"),
			model, wireNumber(12, 30), wireNumber(13, 5), wireNumber(14, 2)),
		instance("i-2", "s-1", "a", wireNumber(7, 1), wireNumber(9, 1)),
		instance("i-3", "s-1", "b", wireNumber(9, 1)),
		instance("i-4", "s-2", "b", wireNumber(9, 1), model),
		instance("i-5", "s-2", "b", wireNumber(7, 2), wireNumber(9, 1)))
	poll := wireBytes(74, wireBytes(1, wireText(3, "other"), wireNumber(4, 1)))

	now := core.Time(time.Minute)
	node := registry.New(now, registry.Options{SelfID: "n-1", SelfAddress: "10.1.0.1:7560", Zone: "a"}, rand.New(rand.NewPCG(1, 2)))
	var text strings.Builder
	for _, encoded := range [][]byte{update, poll} {
		envelope := new(nodepb.Envelope)
		assert.NilError(t, proto.Unmarshal(encoded, envelope))
		for _, output := range node.Receive(now, core.Peer{NodeID: "n-2", Address: "10.1.0.2:7560"}, envelope) {
			send, ok := output.(core.Send)
			if !ok {
				continue
			}
			sent, err := proto.Marshal(send.Message)
			assert.NilError(t, err)
			fmt.Fprintln(&text, hex.EncodeToString(sent))
		}
	}
	golden.Assert(t, text.String(), "golden/digests.txt")
}
