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
	p := NewProposal(2, mine, []string{"a", "b", "c", "d"})
	p.ReceivePromise(promiseOf(mine, "a", nil, nil))
	p.ReceivePromise(promiseOf(mine, "a", nil, nil))
	p.ReceivePromise(promiseOf(mine, "stranger", nil, nil))
	p.ReceivePromise(promiseOf(proposalNumber(3, "a"), "b", nil, nil))
	p.ReceivePromise(promiseOf(mine, "b", nil, nil))
	assert.Equal(t, p.Phase(), Preparing, "two of four")
	p.ReceivePromise(promiseOf(mine, "c", nil, nil))
	assert.Equal(t, p.Phase(), Prepared)
	assert.Assert(t, p.Value() == nil, "free to choose")
	value := &nodepb.View{Epoch: 2}
	p.BeginAccept(value)
	for i, acceptor := range []string{"d", "d", "a", "b"} {
		assert.Equal(t, p.Phase(), Accepting, "answer %d", i)
		p.ReceiveAccepted(&nodepb.Accepted{Epoch: 2, Number: mine, Acceptor: acceptor})
	}
	assert.Equal(t, p.Phase(), Decided)
	assert.Equal(t, p.Value(), value)
}

func TestProposalAdoptsTheHighestAcceptedView(t *testing.T) {
	mine := proposalNumber(9, "a")
	older := &nodepb.View{Epoch: 2, Chain: []string{"older"}}
	newer := &nodepb.View{Epoch: 2, Chain: []string{"newer"}}
	p := NewProposal(2, mine, []string{"a", "b", "c"})
	p.ReceivePromise(promiseOf(mine, "b", proposalNumber(5, "b"), newer))
	p.ReceivePromise(promiseOf(mine, "c", proposalNumber(4, "c"), older))
	assert.Equal(t, p.Phase(), Prepared)
	p.BeginAccept(&nodepb.View{Epoch: 2, Chain: []string{"own"}})
	assert.Equal(t, p.Value(), newer)
}

func TestProposalIsPreemptedByAHigherNumber(t *testing.T) {
	mine := proposalNumber(4, "a")
	p := NewProposal(2, mine, []string{"a", "b", "c"})
	p.ReceivePromise(&nodepb.Promise{Epoch: 2, Rejected: true, Number: proposalNumber(3, "c"), Acceptor: "b"})
	assert.Equal(t, p.Phase(), Preparing, "a late answer to a lower number")
	p.ReceivePromise(&nodepb.Promise{Epoch: 2, Rejected: true, Number: proposalNumber(7, "c"), Acceptor: "b"})
	assert.Equal(t, p.Phase(), Preempted)
	assert.Equal(t, p.PreemptedBy(), uint64(7))

	p = NewProposal(2, mine, []string{"a"})
	p.ReceivePromise(promiseOf(mine, "a", nil, nil))
	p.BeginAccept(&nodepb.View{Epoch: 2})
	p.ReceiveAccepted(&nodepb.Accepted{Epoch: 2, Rejected: true, Number: proposalNumber(5, "b"), Acceptor: "a"})
	assert.Equal(t, p.Phase(), Preempted)
}
