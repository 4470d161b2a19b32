package view

import "kestrelspread/internal/node/nodepb"

// CompareNumbers compares two proposal numbers by counter, then by proposer, and returns -1, 0 or
// 1. A nil number is lower than any other. Numbers of different proposers are never equal.
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
