package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// TestRandomClaimsKeepTableConsistent: whatever others claim, in any order, the table stays
// consistent, and the node stays alive on its own list.
func TestRandomClaimsKeepTableConsistent(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			self := member("a/1", "10.0.0.1:7560", alive, 1)
			seeds := []string{"10.0.0.1:7560", "10.0.0.2:7560", "10.0.0.3:7560"}
			m := New(0, Options{Self: self, Seeds: seeds}, rand.New(rand.NewPCG(seed, 1)))
			now := core.Time(0)
			for range 800 {
				now += core.Time(random.Int64N(int64(400 * time.Millisecond)))
				if random.IntN(3) == 0 {
					m.Tick(now)
					assert.Assert(t, m.Deadline() > now)
				} else {
					m.Receive(now, randomPeer(random), randomMessage(random))
				}
				checkTable(t, m.table)
				assert.Assert(t, m.Deadline() >= now)
				assert.Equal(t, m.table.get("a/1").State, alive)
			}
		})
	}
}

func randomID(random *rand.Rand) (id, address string) {
	i := 1 + random.IntN(6)
	return fmt.Sprintf("%c/%d", 'a'+i-1, random.IntN(3)), fmt.Sprintf("10.0.0.%d:7560", i)
}

func randomPeer(random *rand.Rand) core.Peer {
	id, address := randomID(random)
	return core.Peer{NodeID: id, Address: address}
}

func randomClaims(random *rand.Rand) []*nodepb.Member {
	var claims []*nodepb.Member
	for range random.IntN(5) {
		id, address := randomID(random)
		claims = append(claims, member(id, address, nodepb.MemberState(random.IntN(5)), uint64(random.IntN(6))))
	}
	return claims
}

func randomMessage(random *rand.Rand) *nodepb.Envelope {
	id, address := randomID(random)
	claims := randomClaims(random)
	sequence := uint64(random.IntN(9))
	switch random.IntN(4) {
	case 0:
		return probeMessage(&nodepb.Probe{Sequence: sequence, TargetId: id, Updates: claims})
	case 1:
		return probeAck(sequence, claims)
	case 2:
		return probeRequest(&nodepb.ProbeRequest{Sequence: sequence, TargetId: id, TargetAddress: address, Updates: claims})
	default:
		return memberSync(random.IntN(2) == 0, claims)
	}
}
