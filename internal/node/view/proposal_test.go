package view

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

// promiseOf returns the promise of an acceptor for epoch 2, which reports the given view as accepted before
// under acceptedNumber; both are nil if the acceptor has not accepted a view.
func promiseOf(
	number *nodepb.ProposalNumber, acceptor string, acceptedNumber *nodepb.ProposalNumber, acceptedView *nodepb.View,
) *nodepb.Promise {
	return &nodepb.Promise{Epoch: 2, Number: number, Acceptor: acceptor, AcceptedNumber: acceptedNumber, AcceptedView: acceptedView}
}

// TestProposalNeedsAMajority checks that each phase ends with the answers of a majority. Repeated answers don't
// count, nor do promises of nodes that are not acceptors or promises for other numbers.
func TestProposalNeedsAMajority(t *testing.T) {
	number := proposalNumber(4, "a")
	proposal := NewProposal(2, number, []string{"a", "b", "c", "d"})
	proposal.ReceivePromise(promiseOf(number, "a", nil, nil))
	proposal.ReceivePromise(promiseOf(number, "a", nil, nil))
	proposal.ReceivePromise(promiseOf(number, "not an acceptor", nil, nil))
	proposal.ReceivePromise(promiseOf(proposalNumber(3, "a"), "b", nil, nil))
	proposal.ReceivePromise(promiseOf(number, "b", nil, nil))
	assert.Equal(t, proposal.Phase(), Preparing, "two of four acceptors are no majority")
	proposal.ReceivePromise(promiseOf(number, "c", nil, nil))
	assert.Equal(t, proposal.Phase(), Prepared)
	assert.Assert(t, proposal.Value() == nil, "no acceptor has accepted a view before")
	value := &nodepb.View{Epoch: 2}
	proposal.BeginAccept(value)
	for i, acceptor := range []string{"d", "d", "a", "b"} {
		assert.Equal(t, proposal.Phase(), Accepting, "before answer %d", i)
		proposal.ReceiveAccepted(&nodepb.Accepted{Epoch: 2, Number: number, Acceptor: acceptor})
	}
	assert.Equal(t, proposal.Phase(), Decided)
	assert.Equal(t, proposal.Value(), value)
}

// TestProposalAdoptsTheHighestAcceptedView checks that a proposer drops its own choice for the view accepted
// under the highest number, because that view may have been decided.
func TestProposalAdoptsTheHighestAcceptedView(t *testing.T) {
	number := proposalNumber(9, "a")
	older := &nodepb.View{Epoch: 2, Chain: []string{"older"}}
	newer := &nodepb.View{Epoch: 2, Chain: []string{"newer"}}
	proposal := NewProposal(2, number, []string{"a", "b", "c"})
	proposal.ReceivePromise(promiseOf(number, "b", proposalNumber(5, "b"), newer))
	proposal.ReceivePromise(promiseOf(number, "c", proposalNumber(4, "c"), older))
	assert.Equal(t, proposal.Phase(), Prepared)
	proposal.BeginAccept(&nodepb.View{Epoch: 2, Chain: []string{"own"}})
	assert.Equal(t, proposal.Value(), newer)
}

// TestProposalIsPreemptedByAHigherNumber checks that a rejection with a higher number ends a proposal in both
// phases.
func TestProposalIsPreemptedByAHigherNumber(t *testing.T) {
	number := proposalNumber(4, "a")
	proposal := NewProposal(2, number, []string{"a", "b", "c"})
	proposal.ReceivePromise(&nodepb.Promise{Epoch: 2, Rejected: true, Number: proposalNumber(3, "c"), Acceptor: "b"})
	assert.Equal(t, proposal.Phase(), Preparing, "a late rejection of an earlier proposal is ignored")
	proposal.ReceivePromise(&nodepb.Promise{Epoch: 2, Rejected: true, Number: proposalNumber(7, "c"), Acceptor: "b"})
	assert.Equal(t, proposal.Phase(), Preempted)
	assert.Equal(t, proposal.PreemptedBy(), uint64(7))

	proposal = NewProposal(2, number, []string{"a"})
	proposal.ReceivePromise(promiseOf(number, "a", nil, nil))
	proposal.BeginAccept(&nodepb.View{Epoch: 2})
	proposal.ReceiveAccepted(&nodepb.Accepted{Epoch: 2, Rejected: true, Number: proposalNumber(5, "b"), Acceptor: "a"})
	assert.Equal(t, proposal.Phase(), Preempted)
}
