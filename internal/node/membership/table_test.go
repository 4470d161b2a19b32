package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// tableOf returns a table with n alive members a/0, b/1, ...
func tableOf(n int) (*table, *rand.Rand) {
	random := rand.New(rand.NewPCG(3, 3))
	t := newTable(member("m/0", "10.0.0.0:7560", alive, 1))
	for i := range n {
		t.set(member(fmt.Sprintf("%c/%d", 'a'+i, i), fmt.Sprintf("10.0.1.%d:7560", i), alive, 1), core.Never, random)
	}
	return t, random
}

func TestEachPassProbesEveryMemberOnce(t *testing.T) {
	members, random := tableOf(8)
	for range 20 {
		seen := map[string]bool{}
		for range 8 {
			seen[members.nextToProbe(random).member.NodeId] = true
		}
		assert.Equal(t, len(seen), 8)
	}
}

func TestNewMemberIsProbedWithinNextPass(t *testing.T) {
	members, random := tableOf(8)
	for range 5 {
		members.nextToProbe(random)
	}
	members.set(member("z/9", "10.0.1.9:7560", alive, 1), core.Never, random)
	seen := map[string]int{}
	for range 3 + 1 + 9 {
		seen[members.nextToProbe(random).member.NodeId]++
	}
	assert.Assert(t, seen["z/9"] >= 1)
	for id, times := range seen {
		assert.Assert(t, times <= 2, "%s %d", id, times)
	}
}

func TestSuspectsAreProbedOnlyWithoutAliveMembers(t *testing.T) {
	members, random := tableOf(3)
	members.set(member("a/0", "10.0.1.0:7560", suspect, 1), core.Never, random)
	for range 10 {
		assert.Assert(t, members.nextToProbe(random).member.NodeId != "a/0")
	}
	members.set(member("b/1", "10.0.1.1:7560", dead, 1), core.Never, random)
	members.set(member("c/2", "10.0.1.2:7560", left, 1), core.Never, random)
	assert.Equal(t, members.nextToProbe(random).member.NodeId, "a/0")
	members.set(member("a/0", "10.0.1.0:7560", dead, 1), core.Never, random)
	assert.Assert(t, members.nextToProbe(random) == nil)
}

func TestPickReturnsDistinctAliveMembers(t *testing.T) {
	members, random := tableOf(5)
	members.set(member("b/1", "10.0.1.1:7560", suspect, 1), core.Never, random)
	counts := map[string]int{}
	for range 300 {
		picked := members.pick(3, "a/0", random)
		assert.Equal(t, len(picked), 3)
		for i, one := range picked {
			counts[one.NodeId]++
			assert.Assert(t, !slices.Contains(picked[:i], one))
		}
	}
	assert.Equal(t, counts["a/0"]+counts["b/1"], 0)
	assert.Equal(t, len(counts), 3)
	assert.Equal(t, len(members.pick(10, "", random)), 4)
	empty, random := tableOf(0)
	assert.Equal(t, len(empty.pick(3, "", random)), 0)
}

func TestSuccessorIsNextAliveMember(t *testing.T) {
	members, random := tableOf(3)
	assert.Equal(t, members.successor().NodeId, "a/0", "after the last comes the first")
	members.set(member("n/1", "10.0.2.1:7560", alive, 1), core.Never, random)
	assert.Equal(t, members.successor().NodeId, "n/1")
	members.set(member("n/1", "10.0.2.1:7560", suspect, 1), core.Never, random)
	assert.Equal(t, members.successor().NodeId, "a/0")
	empty, _ := tableOf(0)
	assert.Assert(t, empty.successor() == nil)
}

func TestIndexesAgreeWithEntries(t *testing.T) {
	members, random := tableOf(0)
	states := []nodepb.MemberState{alive, suspect, dead, left}
	for range 2000 {
		i := random.IntN(12)
		id, address := fmt.Sprintf("%c/%d", 'a'+i, i), fmt.Sprintf("10.0.1.%d:7560", i)
		known := members.entries[id]
		if known != nil && !isLive(known.member.State) && random.IntN(3) == 0 {
			members.remove(known)
		} else {
			members.set(member(id, address, states[random.IntN(len(states))], 1), core.Never, random)
		}
		checkTable(t, members)
	}
}

// checkTable asserts that all indexes agree with the entries.
func checkTable(t *testing.T, members *table) {
	t.Helper()
	var live, suspects, down int
	for id, known := range members.entries {
		isSuspect := known.member.State == suspect
		isDown := !isLive(known.member.State)
		assert.Equal(t, slices.Contains(members.ring, id), !isDown)
		assert.Equal(t, slices.Contains(members.suspects, known), isSuspect)
		assert.Equal(t, slices.Contains(members.down, known), isDown)
		assert.Equal(t, members.idByAddress[known.member.Address] == id, !isDown)
		if isSuspect {
			suspects++
		}
		if isDown {
			down++
		} else {
			live++
		}
	}
	assert.Equal(t, len(members.ring), live)
	assert.Equal(t, len(members.idByAddress), live)
	assert.Equal(t, len(members.suspects), suspects)
	assert.Equal(t, len(members.down), down)
	assert.Equal(t, len(members.members()), live+1)
	assert.Assert(t, members.ringPosition <= len(members.ring))
}
