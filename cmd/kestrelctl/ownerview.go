package main

import (
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/transport"
)

// ownerList lists all singleton roles with their lease holders.
func ownerList(flags *ownerFlags) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Who owns what", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		status, _, err := flags.confirmedStatus(cmd)
		if err != nil {
			return err
		}
		return flags.print(cmd, status.Roles, func(table *tabwriter.Writer) {
			fmt.Fprintln(table, "duty\towner\ttoken\tlease left\tnext\tdeaths")
			for _, role := range status.Roles {
				holder := role.Holder
				if holder == "" {
					holder = "nobody"
				}
				fmt.Fprintf(table, "%s\t%s\t%d\t%.0f ms\t%s\t%d\n", role.Name, holder, role.Token, role.LeaseLeftMs, role.NextHolder,
					role.HolderFailures)
			}
		})
	}}
}

// ownerShow prints one role with its progress.
func ownerShow(flags *ownerFlags) *cobra.Command {
	c := &cobra.Command{Use: "show DUTY", Short: "One duty, and how far it has come", Args: cobra.ExactArgs(1)}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		status, _, err := flags.confirmedStatus(cmd)
		if err != nil {
			return err
		}
		for _, role := range status.Roles {
			if role.Name != args[0] {
				continue
			}
			return flags.print(cmd, role, func(table *tabwriter.Writer) {
				fmt.Fprintf(table, "owner\t%s\ntoken\t%d\nlease left\t%.0f ms\nnext\t%s\n", role.Holder, role.Token, role.LeaseLeftMs,
					role.NextHolder)
				fmt.Fprintf(table, "deaths\t%d\nforced\t%v\n", role.HolderFailures, role.Revoked)
				fmt.Fprintf(table, "written under\t%d\nhow far\t%s\n", role.ProgressToken, role.Progress)
			})
		}
		return fmt.Errorf("no duty %q", args[0])
	}
	return c
}

// ownerHistory lists the grants and losses of leases, of one role or of all.
func ownerHistory(flags *ownerFlags) *cobra.Command {
	c := &cobra.Command{Use: "history [DUTY]", Short: "Grants and losses, the latest last", Args: cobra.MaximumNArgs(1)}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		status, _, err := flags.confirmedStatus(cmd)
		if err != nil {
			return err
		}
		events := []lease.Event{}
		for _, event := range status.History {
			if len(args) == 0 || event.Role == args[0] {
				events = append(events, event)
			}
		}
		return flags.print(cmd, events, func(table *tabwriter.Writer) {
			fmt.Fprintln(table, "index\tduty\twhat\twho\ttoken")
			for _, event := range events {
				fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%d\n", event.Index, event.Role, event.Kind, event.Instance, event.Token)
			}
		})
	}
	return c
}

// ownerVoters prints the voters as the leader sees them, and what each that answered says of itself.
func ownerVoters(flags *ownerFlags) *cobra.Command {
	c := &cobra.Command{Use: "voters", Short: "Who votes, who learns, who is heard of", Args: cobra.NoArgs}
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		latest, byAddress, err := flags.confirmedStatus(cmd)
		if err != nil {
			return err
		}
		return flags.print(cmd, byAddress, func(table *tabwriter.Writer) {
			writeVoters(table, latest)
			writeAnswers(table, byAddress)
		})
	}
	return c
}

// writeVoters writes the table of voters as one status has them.
func writeVoters(table *tabwriter.Writer, status transport.Status) {
	fmt.Fprintf(table, "leader\t%s\tterm %d\tapplied %d\n\n", status.Leader, status.Term, status.AppliedIndex)
	fmt.Fprintln(table, "voter\tnumber\trole\thas the log to\theard of")
	for _, voter := range status.Voters {
		membership := "votes"
		if voter.Learner {
			membership = "learns"
		} else if voter.Leaving {
			membership = "leaves"
		}
		lastContact := "-"
		if voter.SinceContactMs >= 0 {
			lastContact = fmt.Sprintf("%.0f ms ago", voter.SinceContactMs)
		}
		fmt.Fprintf(table, "%s\t%x\t%s\t%d\t%s\n", voter.Name, voter.ID, membership, voter.MatchIndex, lastContact)
	}
}

// writeAnswers writes what each voter that answered says of itself.
func writeAnswers(table *tabwriter.Writer, byAddress map[string]transport.Status) {
	fmt.Fprintln(table, "\nanswers at\tname\tapplied\tsyncs\tsent\tdisk")
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		voter := byAddress[address]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\n", address, voter.Name, voter.AppliedIndex, voter.SyncCount, voter.MessagesSent,
			voter.DiskFault)
	}
}

// ownerInstances lists the instances that ask for leases.
func ownerInstances(flags *ownerFlags) *cobra.Command {
	c := &cobra.Command{Use: "instances", Short: "Who asks for duties, each life of it, and how long ago", Args: cobra.NoArgs}
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		status, _, err := flags.confirmedStatus(cmd)
		if err != nil {
			return err
		}
		return flags.print(cmd, status.RequestAgesMs, func(table *tabwriter.Writer) {
			fmt.Fprintln(table, "instance\tasked")
			for _, instance := range slices.Sorted(maps.Keys(status.RequestAgesMs)) {
				fmt.Fprintf(table, "%s\t%.0f ms ago\n", instance, status.RequestAgesMs[instance])
			}
		})
	}
	return c
}
