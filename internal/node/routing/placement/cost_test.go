package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// What each term adds to the cost of a candidate that has a prompt of 1,000 tokens to read at 0.02
// ms each.
func TestCostTerms(t *testing.T) {
	base := view{perToken: 0.02, prefillTokens: 1000, sameZone: true, slots: 64}
	for _, c := range []struct {
		name   string
		change func(*view)
		want   float64 // ms
	}{
		{"its own prompt", func(*view) {}, 20},
		{"tokens to fetch", func(v *view) { v.fetchedTokens, v.perFetched = 500, 0.004 }, 20 + fetchFixed + 2},
		{"tokens that were read lately elsewhere", func(v *view) { v.sharedTokens, v.repeatedTokens = 500, 500 }, 20 + repeatedFactor*10},
		{"the owner of the parts", func(v *view) { v.isOwner = true }, 20 - minOwnerCredit},
		{"the owner has shared tokens to read", func(v *view) { v.isOwner, v.sharedTokens = true, 500 }, 20 - minOwnerCredit - ownerShare*10},
		{"a backlog", func(v *view) { v.prefillWait = 33 }, 53},
		{"running requests", func(v *view) { v.load = 10 }, 20 + 10*requestCost},
		{"another zone", func(v *view) { v.sameZone = false }, 20 + otherZoneCost},
		{"no slot free", func(v *view) { v.load = 64 }, 20 + 64*requestCost + fullCost},
		{"slots not known", func(v *view) { v.slots, v.load = 0, 64 }, 20 + 64*requestCost},
		{"chance", func(v *view) { v.random = 0.5 }, 20 + maxRandomCost/2},
		{"slow start", func(v *view) { v.warmingUp = true }, 20 * warmUpFactor},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := base
			c.change(&v)
			difference := v.cost() - c.want
			assert.Assert(t, difference > -1e-9 && difference < 1e-9, "%v instead of %v", v.cost(), c.want)
		})
	}
}
