package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"kestrelspread/internal/node/nodestatus"
)

// AwaitAgreement waits until all running nodes see the same view, members and state and call themselves ready, each knows
// the others' newest lives and no more, and all nodes with a disk that run are in the chain.
func (f *Fleet) AwaitAgreement(ctx context.Context) error {
	return f.Await(ctx, "agreement of all running nodes", func(ctx context.Context) error {
		statuses, err := f.Statuses(ctx)
		if err != nil {
			return err
		}
		if different := nodestatus.Disagreements(statuses); len(different) > 0 {
			return errors.New(string(different[0].Subject) + ": " + different[0].Text)
		}
		return f.settled(statuses)
	})
}

// settled says what is missing until nodes that agree are also complete.
func (f *Fleet) settled(statuses []*nodestatus.Status) error {
	inChain := 0
	for _, status := range statuses {
		if !status.Ready || status.Chain == nil {
			return fmt.Errorf("%s is not ready", status.Node)
		}
		if status.Chain.Role != "" {
			inChain++
		}
		if status.Chain.Role == "none" {
			return fmt.Errorf("%s is not in the chain", status.Node)
		}
		if len(status.Members) != len(statuses) {
			return fmt.Errorf("%s knows %d members", status.Node, len(status.Members))
		}
		for _, other := range statuses {
			if !slices.ContainsFunc(status.Members, func(m nodestatus.Member) bool { return m.ID == other.ID }) {
				return fmt.Errorf("%s does not know the life of %s", status.Node, other.Node)
			}
		}
	}
	if chain := len(statuses[0].Chain.Chain); chain != inChain {
		return fmt.Errorf("the chain has %d members, of which %d run", chain, inChain)
	}
	return nil
}
