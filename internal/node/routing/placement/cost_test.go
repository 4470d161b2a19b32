package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCostTerms checks what each term adds to the cost of a candidate that has to read a prompt of
// 1,000 tokens at 0.02 ms each.
func TestCostTerms(t *testing.T) {
	base := costInputs{prefillPerToken: 0.02, prefillTokens: 1000, sameZone: true, slots: 64}
	for _, c := range []struct {
		name   string
		change func(*costInputs)
		want   float64 // ms
	}{
		{"only the prompt itself", func(*costInputs) {}, 20},
		{"tokens to fetch", func(v *costInputs) { v.fetchedTokens, v.fetchPerToken = 500, 0.004 }, 20 + fixedFetchCost + 2},
		{"repeated tokens", func(v *costInputs) { v.sharedTokens, v.repeatedTokens = 500, 500 }, 20 + repeatedPrefillFactor*10},
		{"the owner", func(v *costInputs) { v.isOwner = true }, 20 - minOwnerCredit},
		{"owner, shared tokens", func(v *costInputs) { v.isOwner, v.sharedTokens = true, 500 }, 20 - minOwnerCredit - ownerPrefillDiscount*10},
		{"prompts sent earlier", func(v *costInputs) { v.prefillWait = 33 }, 53},
		{"running requests", func(v *costInputs) { v.load = 10 }, 20 + 10*costPerRequest},
		{"another zone", func(v *costInputs) { v.sameZone = false }, 20 + otherZoneCost},
		{"no slot free", func(v *costInputs) { v.load = 64 }, 20 + 64*costPerRequest + noFreeSlotCost},
		{"number of slots not known", func(v *costInputs) { v.slots, v.load = 0, 64 }, 20 + 64*costPerRequest},
		{"random part", func(v *costInputs) { v.randomFraction = 0.5 }, 20 + maxRandomCost/2},
		{"slow start", func(v *costInputs) { v.warmingUp = true }, 20 * warmUpFactor},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := base
			c.change(&v)
			difference := v.cost() - c.want
			assert.Assert(t, difference > -1e-9 && difference < 1e-9, "cost is %v ms instead of %v ms", v.cost(), c.want)
		})
	}
}
