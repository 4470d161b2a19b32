package view

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

func promiseOf(number *nodepb.ProposalNumber, acceptor string, acceptedNumber *nodepb.ProposalNumber, accepted *nodepb.View) *nodepb.Promise {
	return &nodepb.Promise{Epoch: 2, Number: number, Acceptor: acceptor, AcceptedNumber: acceptedNumber, AcceptedView: accepted}
}

func TestProposalNeedsAMajority(t *testing.T) {
	mine := proposalNumber(4, "a")
	r := NewProposal(2, mine, []string{"a", "b", "c", "d"})
	r.ReceivePromise(promiseOf(mine, "a", nil, nil))
	r.ReceivePromise(promiseOf(mine, "a", nil, nil))
	r.ReceivePromise(promiseOf(mine, "stranger", nil, nil))
	r.ReceivePromise(promiseOf(proposalNumber(3, "a"), "b", nil, nil))
	r.ReceivePromise(promiseOf(mine, "b", nil, nil))
	assert.Equal(t, r.Phase(), Preparing, "two of four")
	r.ReceivePromise(promiseOf(mine, "c", nil, nil))
	assert.Equal(t, r.Phase(), Prepared)
	assert.Assert(t, r.Value() == nil, "free to choose")
	value := &nodepb.View{Epoch: 2}
	r.BeginAccept(value)
	for i, voter := range []string{"d", "d", "a", "b"} {
		assert.Equal(t, r.Phase(), Accepting, "answer %d", i)
		r.ReceiveAccepted(&nodepb.Accepted{Epoch: 2, Number: mine, Acceptor: voter})
	}
	assert.Equal(t, r.Phase(), Decided)
	assert.Equal(t, r.Value(), value)
}

func TestProposalAdoptsTheHighestAcceptedView(t *testing.T) {
	mine := proposalNumber(9, "a")
	older := &nodepb.View{Epoch: 2, Chain: []string{"older"}}
	newer := &nodepb.View{Epoch: 2, Chain: []string{"newer"}}
	r := NewProposal(2, mine, []string{"a", "b", "c"})
	r.ReceivePromise(promiseOf(mine, "b", proposalNumber(5, "b"), newer))
	r.ReceivePromise(promiseOf(mine, "c", proposalNumber(4, "c"), older))
	assert.Equal(t, r.Phase(), Prepared)
	r.BeginAccept(&nodepb.View{Epoch: 2, Chain: []string{"own"}})
	assert.Equal(t, r.Value(), newer)
}

func TestProposalIsPreemptedByAHigherNumber(t *testing.T) {
	mine := proposalNumber(4, "a")
	r := NewProposal(2, mine, []string{"a", "b", "c"})
	r.ReceivePromise(&nodepb.Promise{Epoch: 2, Rejected: true, Number: proposalNumber(3, "c"), Acceptor: "b"})
	assert.Equal(t, r.Phase(), Preparing, "a late word on an earlier ballot")
	r.ReceivePromise(&nodepb.Promise{Epoch: 2, Rejected: true, Number: proposalNumber(7, "c"), Acceptor: "b"})
	assert.Equal(t, r.Phase(), Preempted)
	assert.Equal(t, r.PreemptedBy(), uint64(7))

	r = NewProposal(2, mine, []string{"a"})
	r.ReceivePromise(promiseOf(mine, "a", nil, nil))
	r.BeginAccept(&nodepb.View{Epoch: 2})
	r.ReceiveAccepted(&nodepb.Accepted{Epoch: 2, Rejected: true, Number: proposalNumber(5, "b"), Acceptor: "a"})
	assert.Equal(t, r.Phase(), Preempted)
}
