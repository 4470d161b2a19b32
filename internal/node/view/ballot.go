package view

import "kestrelspread/internal/node/nodepb"

// CompareBallots orders ballots by round, then by proposer; nil is below all others. It returns -1, 0 or 1.
func CompareBallots(a, b *nodepb.Ballot) int {
	switch {
	case a.GetRound() < b.GetRound():
		return -1
	case a.GetRound() > b.GetRound():
		return 1
	case a.GetProposer() < b.GetProposer():
		return -1
	case a.GetProposer() > b.GetProposer():
		return 1
	default:
		return 0
	}
}
