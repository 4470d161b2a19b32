package view

import "kestrelspread/internal/node/nodepb"

// CompareNumbers orders proposal numbers by counter, then by proposer; nil is below all others. It
// returns -1, 0 or 1. Numbers of different proposers are never equal.
func CompareNumbers(a, b *nodepb.ProposalNumber) int {
	switch {
	case a.GetCounter() < b.GetCounter():
		return -1
	case a.GetCounter() > b.GetCounter():
		return 1
	case a.GetProposer() < b.GetProposer():
		return -1
	case a.GetProposer() > b.GetProposer():
		return 1
	default:
		return 0
	}
}
