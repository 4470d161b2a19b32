package chain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/chain"
)

// TestCallsSurviveAHandover: what reaches a head that hands over is answered by the next head,
// before the caller asks another machine.
func TestCallsSurviveAHandover(t *testing.T) {
	const maxCallTime = 150 * time.Millisecond
	for seed := range uint64(40) {
		w := newWorld(t, seed, fourCoreMachines)
		w.runUntil("all in the chain", 2*time.Second, w.chainHasLength(fourCoreMachines.core))
		var operators []*operator
		for _, name := range []string{"a", "b", "c"} {
			o := w.newOperator(name, time.Millisecond)
			o.through = w.order[fourCoreMachines.core:]
			operators = append(operators, o)
		}
		w.runUntil("first acknowledgements", 3*time.Second, operators[0].acknowledgesMore(5))
		for _, o := range operators {
			o.slowestCall = 0
		}
		head := w.inRole(chain.Head)
		head.input(func() { head.carryOut(head.replica.HandOver(w.now)) })
		w.runFor(800 * time.Millisecond)
		for _, o := range operators {
			assert.Check(t, o.slowestCall < maxCallTime, "seed %d: a call of operator %s took %v", seed, o.name, o.slowestCall)
		}
	}
}
