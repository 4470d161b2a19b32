package view

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

func promiseOf(b *nodepb.Ballot, voter string, acceptedBallot *nodepb.Ballot, accepted *nodepb.View) *nodepb.Promise {
	return &nodepb.Promise{Epoch: 2, Ballot: b, Voter: voter, AcceptedBallot: acceptedBallot, AcceptedView: accepted}
}

func TestRoundNeedsAMajority(t *testing.T) {
	mine := ballot(4, "a")
	r := NewRound(2, mine, []string{"a", "b", "c", "d"})
	r.Promised(promiseOf(mine, "a", nil, nil))
	r.Promised(promiseOf(mine, "a", nil, nil))
	r.Promised(promiseOf(mine, "stranger", nil, nil))
	r.Promised(promiseOf(ballot(3, "a"), "b", nil, nil))
	r.Promised(promiseOf(mine, "b", nil, nil))
	assert.Equal(t, r.Phase(), Preparing, "two of four")
	r.Promised(promiseOf(mine, "c", nil, nil))
	assert.Equal(t, r.Phase(), Choosing)
	assert.Assert(t, r.Value() == nil, "free to choose")
	value := &nodepb.View{Epoch: 2}
	r.Choose(value)
	for i, voter := range []string{"d", "d", "a", "b"} {
		assert.Equal(t, r.Phase(), Accepting, "answer %d", i)
		r.Accepted(&nodepb.Accepted{Epoch: 2, Ballot: mine, Voter: voter})
	}
	assert.Equal(t, r.Phase(), Decided)
	assert.Equal(t, r.Value(), value)
}

func TestRoundIsBoundToTheHighestAcceptance(t *testing.T) {
	mine := ballot(9, "a")
	older := &nodepb.View{Epoch: 2, Chain: []string{"older"}}
	newer := &nodepb.View{Epoch: 2, Chain: []string{"newer"}}
	r := NewRound(2, mine, []string{"a", "b", "c"})
	r.Promised(promiseOf(mine, "b", ballot(5, "b"), newer))
	r.Promised(promiseOf(mine, "c", ballot(4, "c"), older))
	assert.Equal(t, r.Phase(), Choosing)
	r.Choose(&nodepb.View{Epoch: 2, Chain: []string{"own"}})
	assert.Equal(t, r.Value(), newer)
}

func TestRoundIsBeatenByAHigherBallot(t *testing.T) {
	mine := ballot(4, "a")
	r := NewRound(2, mine, []string{"a", "b", "c"})
	r.Promised(&nodepb.Promise{Epoch: 2, Refused: true, Ballot: ballot(3, "c"), Voter: "b"})
	assert.Equal(t, r.Phase(), Preparing, "a late word on an earlier ballot")
	r.Promised(&nodepb.Promise{Epoch: 2, Refused: true, Ballot: ballot(7, "c"), Voter: "b"})
	assert.Equal(t, r.Phase(), Beaten)
	assert.Equal(t, r.HigherRound(), uint64(7))

	r = NewRound(2, mine, []string{"a"})
	r.Promised(promiseOf(mine, "a", nil, nil))
	r.Choose(&nodepb.View{Epoch: 2})
	r.Accepted(&nodepb.Accepted{Epoch: 2, Refused: true, Ballot: ballot(5, "b"), Voter: "a"})
	assert.Equal(t, r.Phase(), Beaten)
}
