package kvindex

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// Two different cache salts.
const saltA, saltB = uint64(11), uint64(12)

// promptParts are the parts of the prompt that the tests look up.
var promptParts = []prompt.Part{{ID: 1, Tokens: 800}, {ID: 2, Tokens: 410}, {ID: 3, Tokens: 250}}

func TestHoldersCountCachedPrefixWithoutGap(t *testing.T) {
	for _, test := range []struct {
		name   string
		cached map[uint64]int // tokens by part
		tokens int            // expected match; 0: the holder is not listed
	}{
		{"nothing", nil, 0},
		{"first part", map[uint64]int{1: 800}, 800},
		{"second without first", map[uint64]int{2: 410}, 0},
		{"all", map[uint64]int{1: 800, 2: 410, 3: 250}, 1460},
		{"less than a block missing counts as complete", map[uint64]int{1: 800, 2: 400, 3: 250}, 1450},
		{"part of the first", map[uint64]int{1: 640, 2: 410}, 640},
		{"gap in the middle", map[uint64]int{1: 800, 3: 250}, 800},
		{"part of the second", map[uint64]int{1: 800, 2: 128, 3: 250}, 928},
	} {
		t.Run(test.name, func(t *testing.T) {
			index := NewIndex(100)
			for part, tokens := range test.cached {
				index.Set("i-1", saltA, part, tokens)
				index.Set("i-2", saltB, part, tokens)
			}
			found := index.Holders(saltA, promptParts)
			if test.tokens == 0 {
				assert.Equal(t, len(found), 0)
				return
			}
			assert.DeepEqual(t, found, []prefixcache.Holder{{Instance: "i-1", Tokens: test.tokens}})
		})
	}
}

func TestHoldersAreOrderedAndStoresNamedByAddress(t *testing.T) {
	index := NewIndex(100)
	index.Set("i-2", saltA, 1, 800)
	index.Set("i-1", saltA, 1, 800)
	index.Set(StoreName("10.0.0.1:80"), saltA, 1, 800)
	index.Set(StoreName("10.0.0.1:80"), saltA, 2, 410)
	assert.DeepEqual(t, index.Holders(saltA, promptParts), []prefixcache.Holder{
		{Instance: "10.0.0.1:80", Store: true, Tokens: 1210},
		{Instance: "i-1", Tokens: 800},
		{Instance: "i-2", Tokens: 800},
	})
}

func TestDroppedPartsAreNotFound(t *testing.T) {
	index := NewIndex(100)
	index.Observed("i-1", saltA, promptParts)
	assert.Equal(t, index.Holders(saltA, promptParts)[0].Tokens, 1460)
	index.Set("i-1", saltA, 2, 0)
	assert.Equal(t, index.Holders(saltA, promptParts)[0].Tokens, 800)
	index.InvalidateHolder("i-1")
	assert.Equal(t, len(index.Holders(saltA, promptParts)), 0)
	index.Set("i-1", saltA, 1, 800)
	assert.Equal(t, index.Holders(saltA, promptParts)[0].Tokens, 800)
	index.RemoveHolder("i-1")
	assert.Equal(t, len(index.Holders(saltA, promptParts)), 0)
	index.Set("i-1", saltA, 1, 0)
	assert.Equal(t, len(index.holderByName), 0)
}

func TestIndexIsBoundedAndKeepsReferencedRecords(t *testing.T) {
	index := NewIndex(64)
	index.Set("i-1", saltA, 1, 800)
	for part := range uint64(1000) {
		index.Set("i-2", saltA, 1000+part, 100)
		assert.Equal(t, len(index.Holders(saltA, promptParts[:1])), 1, "after %d further parts", part)
		assert.Assert(t, index.RecordCount() <= 64)
	}
	assert.Equal(t, len(index.headByKey), index.RecordCount())
}

func TestNumbersOfForgottenHoldersAreReused(t *testing.T) {
	index := NewIndex(16)
	for incarnation := range 200 {
		name := string(rune('a' + incarnation%26))
		index.Set(name, saltA, 1, 100)
		index.RemoveHolder(name)
		assert.Equal(t, len(index.Holders(saltA, promptParts)), 0)
	}
	assert.Assert(t, len(index.holders) <= 40, "%d", len(index.holders))
}

// TestIndexMatchesModel applies random changes to the index and to a map, and compares their answers.
func TestIndexMatchesModel(t *testing.T) {
	names := []string{"a", "b", "c", StoreName("s")}
	rapid.Check(t, func(t *rapid.T) {
		index := NewIndex(1000)
		model := map[string]map[uint64]int{}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range rapid.IntRange(0, 200).Draw(t, "changes") {
			name := names[random.IntN(len(names))]
			if model[name] == nil {
				model[name] = map[uint64]int{}
			}
			part := uint64(1 + random.IntN(3))
			tokens := 16 * random.IntN(60)
			switch random.IntN(12) {
			case 0:
				index.InvalidateHolder(name)
				model[name] = nil
			case 1:
				index.RemoveHolder(name)
				model[name] = nil
			default:
				index.Set(name, saltA, part, tokens)
				model[name][part] = tokens
			}
		}
		found := map[string]int{}
		for _, h := range index.Holders(saltA, promptParts) {
			found[h.Instance] = h.Tokens
		}
		for _, name := range names {
			want := 0
			for _, part := range promptParts {
				cached := min(model[name][part.ID], part.Tokens)
				want += cached
				if cached+blockTokens <= part.Tokens {
					break
				}
			}
			shown, _ := storeAddress(name)
			if shown == "" || name == shown {
				shown = name
			}
			if found[shown] != want {
				t.Fatalf("holder %s caches %d tokens of the prompt, but the index reports %d", name, want, found[shown])
			}
		}
	})
}

func BenchmarkHolders(b *testing.B) {
	index := NewIndex(50000)
	random := rand.New(rand.NewPCG(1, 2))
	for part := range uint64(2000) {
		for range 4 {
			index.Set(string(rune('a'+random.IntN(18))), saltA, part, 500)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		part := random.Uint64N(2000)
		index.Holders(saltA, []prompt.Part{{ID: part, Tokens: 500}, {ID: part + 1, Tokens: 500}, {ID: part + 2, Tokens: 500}})
	}
}
