package view

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

func ballot(round uint64, proposer string) *nodepb.Ballot {
	return &nodepb.Ballot{Round: round, Proposer: proposer}
}

func TestCompareBallots(t *testing.T) {
	for _, c := range []struct {
		a, b *nodepb.Ballot
		want int
	}{
		{nil, nil, 0},
		{nil, ballot(1, "a"), -1},
		{ballot(2, "a"), ballot(1, "z"), 1},
		{ballot(2, "a"), ballot(2, "b"), -1},
		{ballot(2, "b"), ballot(2, "b"), 0},
	} {
		assert.Equal(t, CompareBallots(c.a, c.b), c.want)
	}
}

func TestAcceptorKeepsItsPromise(t *testing.T) {
	a := NewAcceptor(2)
	promise, changed := a.Prepare(ballot(3, "a"))
	assert.Assert(t, changed && !promise.GetRefused())
	promise, changed = a.Prepare(ballot(3, "a"))
	assert.Assert(t, !changed && !promise.GetRefused(), "a repeat is promised again")
	promise, _ = a.Prepare(ballot(2, "z"))
	assert.Assert(t, promise.GetRefused())
	assert.Equal(t, promise.GetBallot().GetRound(), uint64(3))

	lower, changed := a.Accept(ballot(2, "z"), &nodepb.View{Epoch: 2})
	assert.Assert(t, lower.GetRefused() && !changed)
	value := &nodepb.View{Epoch: 2, Chain: []string{"x"}}
	accepted, changed := a.Accept(ballot(3, "a"), value)
	assert.Assert(t, !accepted.GetRefused() && changed)
	_, changed = a.Accept(ballot(3, "a"), value)
	assert.Assert(t, !changed)

	restored := RestoreAcceptor(a.Record())
	promise, _ = restored.Prepare(ballot(4, "b"))
	assert.Equal(t, promise.GetAcceptedView(), value)
	assert.Equal(t, CompareBallots(promise.GetAcceptedBallot(), ballot(3, "a")), 0)
}

func TestAcceptorPromisesByAccepting(t *testing.T) {
	a := NewAcceptor(2)
	_, changed := a.Accept(ballot(5, "a"), &nodepb.View{Epoch: 2})
	assert.Assert(t, changed)
	promise, _ := a.Prepare(ballot(4, "b"))
	assert.Assert(t, promise.GetRefused())
}
