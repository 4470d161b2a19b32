package loadhint

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// docs/CAPACITY.md assumes 53 bytes for a hint of a prompt with three shared parts. The fixed overhead of
// the message that carries a batch is not included.
func TestHintSize(t *testing.T) {
	batch := func(hints int) int {
		list := &nodepb.LoadHints{Hop: nodepb.LoadHintHop_TO_PROXY}
		for range hints {
			list.Hints = append(list.Hints, &nodepb.LoadHint{
				Instance: "i-7f3a91c2e0", Salt: 1 << 60, PartIds: []uint64{0x5c1e07a2, 0x91bd3f06, 0xe4402b7d},
				PartTokens: []uint32{2601, 1100, 2599}, UnreadTokens: 2890,
			})
		}
		return proto.Size(&nodepb.Envelope{Body: &nodepb.Envelope_LoadHints{LoadHints: list}})
	}
	const bytesPerHint = 53
	assert.Equal(t, (batch(101)-batch(1))/100, bytesPerHint)
	assert.Assert(t, batch(1) < bytesPerHint+16)
}
