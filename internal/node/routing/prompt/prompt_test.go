package prompt

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAllPartsButTheLastAreShared(t *testing.T) {
	first, second, last := Part{ID: 1, Tokens: 500}, Part{ID: 2, Tokens: 800}, Part{ID: 3, Tokens: 300}
	for _, c := range []struct {
		name   string
		parts  []Part
		sticky Part
		found  bool
		shared int // tokens
	}{
		{"no parts", nil, Part{}, false, 0},
		{"one part", []Part{last}, last, true, 0},
		{"two parts", []Part{first, last}, first, true, 500},
		{"three parts", []Part{first, second, last}, second, true, 1300},
	} {
		t.Run(c.name, func(t *testing.T) {
			sticky, found := StickyPart(c.parts)
			assert.Equal(t, found, c.found)
			assert.Equal(t, sticky, c.sticky)
			assert.Equal(t, SharedTokens(c.parts), c.shared)
		})
	}
}

// The keys and weights determine where every proxy of a deployment sends a prompt. If they changed,
// cached parts would no longer be found where they are.
func TestAffinityKeysAndWeightsAreFixed(t *testing.T) {
	key := AffinityKey(Part{ID: 7, Tokens: 100}, "m-large", "")
	isolated := AffinityKey(Part{ID: 7, Tokens: 100}, "m-large", "tenant")
	assert.Equal(t, key, AffinityKey(Part{ID: 7, Tokens: 900}, "m-large", ""))
	assert.Equal(t, key, uint64(10322713497197611933))
	assert.Equal(t, isolated, uint64(921846845179833366))
	assert.Equal(t, RendezvousWeight(key, HashText("i-1")), uint64(7627153109664045030))
}
