package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"kestrelspread/internal/fleet/lease/transport"
)

// ownerFlags are the flags that all sub-commands of owner share.
type ownerFlags struct {
	voters []string
	asJSON bool
	// within bounds the calls of one sub-command.
	within time.Duration
}

// ownerCommand shows which instance holds the lease of each singleton role, and changes it.
// Whoever takes a role from its holder names the fencing token that was seen before, so that two
// operators don't undo each other's changes.
func ownerCommand() *cobra.Command {
	root := &cobra.Command{Use: "owner", Short: "See and change who does the fleet's work"}
	flags := &ownerFlags{}
	root.PersistentFlags().StringSliceVar(&flags.voters, "voters", nil, "addresses of voters, any that are up")
	root.PersistentFlags().BoolVar(&flags.asJSON, "json", false, "as JSON")
	root.PersistentFlags().DurationVar(&flags.within, "within", 5*time.Second, "for how long to try")
	root.MarkPersistentFlagRequired("voters")
	root.AddCommand(
		ownerList(flags), ownerShow(flags), ownerHistory(flags), ownerVoters(flags), ownerInstances(flags),
		ownerMove(flags), ownerRelease(flags),
	)
	return root
}

// print writes a result as JSON, or as the table that writeTable fills in.
func (f *ownerFlags) print(cmd *cobra.Command, result any, writeTable func(table *tabwriter.Writer)) error {
	if f.asJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(result)
	}
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
	writeTable(table)
	return table.Flush()
}

// warnUnlessConfirmed warns of a status that no leader confirmed: it may be out of date.
func warnUnlessConfirmed(cmd *cobra.Command, status transport.Status) {
	if !status.Confirmed {
		fmt.Fprintln(cmd.ErrOrStderr(), "nobody leads, as far as can be seen: what follows is the latest that", status.Name,
			"knew, and duties may be nobody's")
	}
}
