package rendezvous

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// identity is the name of a candidate that is a name.
func identity(name string) string { return name }

// names returns as many addresses.
func names(count int) []string {
	var list []string
	for number := range count {
		list = append(list, fmt.Sprintf("10.0.0.%d:7000", number))
	}
	return list
}

func TestRankIgnoresOrderOfCandidates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	want := names(20)
	Rank("key", want, identity)
	for range 10 {
		got := names(20)
		random.Shuffle(len(got), func(a, b int) { got[a], got[b] = got[b], got[a] })
		assert.Equal(t, Best("key", got, identity), want[0])
		Rank("key", got, identity)
		assert.DeepEqual(t, got, want)
	}
}

func TestLossOfCandidateMovesOnlyItsKeys(t *testing.T) {
	before := names(10)
	after := slices.Clone(before[1:])
	for number := range 1000 {
		key := fmt.Sprint(number)
		home := Best(key, before, identity)
		if home != before[0] {
			assert.Equal(t, Best(key, after, identity), home)
		}
	}
}

func TestKeysSpreadEvenly(t *testing.T) {
	counts := map[string]int{}
	candidates := names(10)
	for number := range 10000 {
		counts[Best(fmt.Sprint(number), candidates, identity)]++
	}
	for _, candidate := range candidates {
		assert.Assert(t, counts[candidate] > 800 && counts[candidate] < 1200, "%s: %d", candidate, counts[candidate])
	}
}
