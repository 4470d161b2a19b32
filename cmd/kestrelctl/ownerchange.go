package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"kestrelspread/internal/fleet/lease"
)

// recentRequestMs is how long ago, in milliseconds, an instance may have last asked for leases to
// count as one that runs.
const recentRequestMs = 10000

// ownerMove asks a role's holder to finish its step and hand the lease over.
func ownerMove(flags *ownerFlags) *cobra.Command {
	var target string
	var token uint64
	c := &cobra.Command{Use: "move DUTY", Short: "Ask its owner to end its step and hand over", Args: cobra.ExactArgs(1)}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		instance := target
		if target != "" && !strings.Contains(target, ".") {
			var err error
			if instance, err = flags.runningInstance(target); err != nil {
				return err
			}
		}
		return flags.change(cmd, lease.Command{Kind: lease.CommandTransfer, Role: args[0], Token: token, Target: instance})
	}
	c.Flags().StringVar(&target, "to", "", "an instance, or a broker's name; none: whoever it falls to")
	c.Flags().Uint64Var(&token, "token", 0, "the latest that you have seen")
	c.MarkFlagRequired("token")
	return c
}

// ownerRelease revokes a role's lease at once. Effects of the previous holder are rejected by
// their fencing token once the next holder has begun.
func ownerRelease(flags *ownerFlags) *cobra.Command {
	var target string
	var token uint64
	c := &cobra.Command{
		Use: "release DUTY", Args: cobra.ExactArgs(1),
		Short: "Take it from its owner at once; what that one still does is refused once the next has begun",
		RunE: func(cmd *cobra.Command, args []string) error {
			return flags.change(cmd, lease.Command{Kind: lease.CommandRevoke, Role: args[0], Token: token, Target: target})
		},
	}
	c.Flags().StringVar(&target, "to", "", "an instance that is to have it")
	c.Flags().Uint64Var(&token, "token", 0, "the latest that you have seen")
	c.MarkFlagRequired("token")
	return c
}

// runningInstance returns the one instance of a broker that has lately asked for leases. An
// instance's name is the broker's name, a dot and its incarnation, which the leader knows.
func (f *ownerFlags) runningInstance(broker string) (string, error) {
	status, _, err := f.status()
	if err != nil {
		return "", err
	}
	running := []string{}
	for instance, ageMs := range status.RequestAgesMs {
		if name, _, _ := strings.Cut(instance, "."); name == broker && ageMs < recentRequestMs {
			running = append(running, instance)
		}
	}
	if len(running) != 1 {
		return "", fmt.Errorf("%q has asked for duties in %d lives lately: %v", broker, len(running), running)
	}
	return running[0], nil
}

// change has a command committed, and prints the role as it is then. An error says whether the
// command was rejected or whether its outcome isn't known.
func (f *ownerFlags) change(cmd *cobra.Command, command lease.Command) error {
	result, err := f.submit(command)
	role := result.Role
	switch {
	case err != nil:
		return err
	case !result.OutcomeKnown:
		return fmt.Errorf("it may or may not have been agreed on (%s): look before you try again", result.Reason)
	case !result.OK:
		return fmt.Errorf("refused: %s (the latest token is %d, the owner %q)", result.Reason, role.Token, role.Holder)
	}
	return f.print(cmd, role, func(table *tabwriter.Writer) {
		fmt.Fprintf(table, "%s\towner %q\ttoken %d\tnext %q\n", role.Name, role.Holder, role.Token, role.NextHolder)
	})
}
