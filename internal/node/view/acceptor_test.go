package view

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// proposalNumber returns a proposal number with the given counter.
func proposalNumber(counter uint64, proposer string) *nodepb.ProposalNumber {
	return &nodepb.ProposalNumber{Counter: counter, Proposer: proposer}
}

func TestCompareNumbersOrdersByCounterThenProposer(t *testing.T) {
	for _, c := range []struct {
		a, b *nodepb.ProposalNumber
		want int
	}{
		{nil, nil, 0},
		{nil, proposalNumber(1, "a"), -1},
		{proposalNumber(2, "a"), proposalNumber(1, "z"), 1},
		{proposalNumber(2, "a"), proposalNumber(2, "b"), -1},
		{proposalNumber(2, "b"), proposalNumber(2, "b"), 0},
	} {
		assert.Equal(t, CompareNumbers(c.a, c.b), c.want)
	}
}

// TestAcceptorKeepsItsPromise checks that an acceptor rejects numbers below the promised one, and that a
// restored acceptor still reports the view that it accepted.
func TestAcceptorKeepsItsPromise(t *testing.T) {
	a := NewAcceptor(2)
	promise, changed := a.Prepare(proposalNumber(3, "a"))
	assert.Assert(t, changed && !promise.GetRejected())
	promise, changed = a.Prepare(proposalNumber(3, "a"))
	assert.Assert(t, !changed && !promise.GetRejected(), "a repeated request is promised again")
	promise, _ = a.Prepare(proposalNumber(2, "z"))
	assert.Assert(t, promise.GetRejected())
	assert.Equal(t, promise.GetNumber().GetCounter(), uint64(3))

	rejected, changed := a.Accept(proposalNumber(2, "z"), &nodepb.View{Epoch: 2})
	assert.Assert(t, rejected.GetRejected() && !changed)
	value := &nodepb.View{Epoch: 2, Chain: []string{"x"}}
	accepted, changed := a.Accept(proposalNumber(3, "a"), value)
	assert.Assert(t, !accepted.GetRejected() && changed)
	_, changed = a.Accept(proposalNumber(3, "a"), value)
	assert.Assert(t, !changed)

	restored := RestoreAcceptor(a.Record())
	promise, _ = restored.Prepare(proposalNumber(4, "b"))
	assert.Equal(t, promise.GetAcceptedView(), value)
	assert.Equal(t, CompareNumbers(promise.GetAcceptedNumber(), proposalNumber(3, "a")), 0)
}

// TestAcceptImpliesAPromise checks that an acceptor which accepted a proposal without a Prepare rejects
// lower numbers from then on.
func TestAcceptImpliesAPromise(t *testing.T) {
	a := NewAcceptor(2)
	_, changed := a.Accept(proposalNumber(5, "a"), &nodepb.View{Epoch: 2})
	assert.Assert(t, changed)
	promise, _ := a.Prepare(proposalNumber(4, "b"))
	assert.Assert(t, promise.GetRejected())
}
