package rendezvous

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func itself(name string) string { return name }

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
	Rank("key", want, itself)
	for range 10 {
		got := names(20)
		random.Shuffle(len(got), func(a, b int) { got[a], got[b] = got[b], got[a] })
		assert.Equal(t, Best("key", got, itself), want[0])
		Rank("key", got, itself)
		assert.DeepEqual(t, got, want)
	}
}

func TestLossOfCandidateMovesOnlyItsKeys(t *testing.T) {
	before := names(10)
	after := slices.Clone(before[1:])
	for number := range 1000 {
		key := fmt.Sprint(number)
		home := Best(key, before, itself)
		if home != before[0] {
			assert.Equal(t, Best(key, after, itself), home)
		}
	}
}

func TestKeysSpreadEvenly(t *testing.T) {
	counts := map[string]int{}
	candidates := names(10)
	for number := range 10000 {
		counts[Best(fmt.Sprint(number), candidates, itself)]++
	}
	for _, candidate := range candidates {
		assert.Assert(t, counts[candidate] > 800 && counts[candidate] < 1200, "%s: %d", candidate, counts[candidate])
	}
}
