package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"kestrelspread/internal/node/nodestatus"
)

// AwaitAgreement waits until all running nodes agree on view, members and state and are ready, each knows the current
// incarnations of the others and no more, and all running nodes with a disk are in the chain.
func (f *Fleet) AwaitAgreement(ctx context.Context) error {
	return f.Await(ctx, "agreement of all running nodes", f.Agrees)
}

// Agrees returns what AwaitAgreement waits for at present, nil for nothing.
func (f *Fleet) Agrees(ctx context.Context) error {
	statuses, err := f.Statuses(ctx)
	if err != nil {
		return err
	}
	if different := nodestatus.Disagreements(statuses); len(different) > 0 {
		return errors.New(string(different[0].Subject) + ": " + different[0].Text)
	}
	return f.checkComplete(statuses)
}

// checkComplete returns what is missing: nodes that agree may still lack a member.
func (f *Fleet) checkComplete(statuses []*nodestatus.Status) error {
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
				return fmt.Errorf("%s does not know the incarnation of %s, but %s", status.Node, other.Node, membersNamed(status, other.Node))
			}
		}
	}
	if chain := len(statuses[0].Chain.Chain); chain != inChain {
		return fmt.Errorf("the chain has %d members, of which %d run", chain, inChain)
	}
	return nil
}

// membersNamed describes the members of a name that a node knows.
func membersNamed(status *nodestatus.Status, name string) string {
	var known []string
	for _, member := range status.Members {
		if member.Name == name {
			known = append(known, fmt.Sprintf("%+v", member))
		}
	}
	return strings.Join(known, ", ")
}
