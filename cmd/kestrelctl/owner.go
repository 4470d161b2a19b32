package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/transport"
)

// ownerCommand looks at who does the fleet's work, and changes it. Whoever takes a duty from its owner names the token that was
// seen before, so that two operators do not undo each other.
func ownerCommand() *cobra.Command {
	root := &cobra.Command{Use: "owner", Short: "See and change who does the fleet's work"}
	var voters []string
	var asJSON bool
	var within time.Duration
	root.PersistentFlags().StringSliceVar(&voters, "voters", nil, "addresses of voters, any that are up")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "as JSON")
	root.PersistentFlags().DurationVar(&within, "within", 5*time.Second, "for how long to try")
	root.MarkPersistentFlagRequired("voters")

	dial := func() (map[string]*transport.Peer, error) {
		peers := map[string]*transport.Peer{}
		for _, at := range voters {
			if _, _, err := net.SplitHostPort(at); err != nil {
				return nil, fmt.Errorf("--voters: %w", err)
			}
			p, err := transport.Dial(at)
			if err != nil {
				return nil, err
			}
			peers[at] = p
		}
		return peers, nil
	}
	// look gives the leader's view, or, where nobody leads, the latest that any voter has.
	look := func() (best transport.Status, all map[string]transport.Status, err error) {
		peers, err := dial()
		if err != nil {
			return best, nil, err
		}
		all = map[string]transport.Status{}
		ctx, end := context.WithTimeout(context.Background(), within)
		defer end()
		type seen struct {
			at  string
			v   transport.Status
			err error
		}
		c := make(chan seen, len(peers))
		for at, p := range peers {
			go func() {
				v, err := p.Status(ctx)
				c <- seen{at, v, err}
			}()
		}
		for range peers {
			s := <-c
			if s.err != nil {
				err = s.err
				continue
			}
			all[s.at] = s.v
			if v := s.v; best.Name == "" || v.Confirmed && !best.Confirmed || v.Confirmed == best.Confirmed && v.AppliedIndex > best.AppliedIndex {
				best = v
			}
		}
		if len(all) == 0 {
			return best, nil, fmt.Errorf("no voter answers: %w", err)
		}
		return best, all, nil
	}
	warn := func(cmd *cobra.Command, v transport.Status) {
		if !v.Confirmed {
			fmt.Fprintln(cmd.ErrOrStderr(), "nobody leads, as far as can be seen: what follows is the latest that", v.Name, "knew, and duties may be nobody's")
		}
	}
	show := func(cmd *cobra.Command, what any, table func(t *tabwriter.Writer)) error {
		if asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(what)
		}
		t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
		table(t)
		return t.Flush()
	}
	list := &cobra.Command{Use: "list", Short: "Who owns what", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		v, _, err := look()
		if err != nil {
			return err
		}
		warn(cmd, v)
		return show(cmd, v.Roles, func(t *tabwriter.Writer) {
			fmt.Fprintln(t, "duty\towner\ttoken\tlease left\tnext\tdeaths")
			for _, d := range v.Roles {
				who := d.Holder
				if who == "" {
					who = "nobody"
				}
				fmt.Fprintf(t, "%s\t%s\t%d\t%.0f ms\t%s\t%d\n", d.Name, who, d.Token, d.LeaseLeftMs, d.NextHolder, d.HolderFailures)
			}
		})
	}}
	one := &cobra.Command{Use: "show DUTY", Short: "One duty, and how far it has come", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		v, _, err := look()
		if err != nil {
			return err
		}
		warn(cmd, v)
		for _, d := range v.Roles {
			if d.Name == args[0] {
				return show(cmd, d, func(t *tabwriter.Writer) {
					fmt.Fprintf(t, "owner\t%s\ntoken\t%d\nlease left\t%.0f ms\nnext\t%s\ndeaths\t%d\nforced\t%v\nwritten under\t%d\nhow far\t%s\n", d.Holder, d.Token, d.LeaseLeftMs, d.NextHolder,
						d.HolderFailures, d.Forced, d.ProgressToken, d.Progress)
				})
			}
		}
		return fmt.Errorf("no duty %q", args[0])
	}}
	history := &cobra.Command{Use: "history [DUTY]", Short: "Grants and losses, the latest last", Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		v, _, err := look()
		if err != nil {
			return err
		}
		warn(cmd, v)
		events := []lease.Event{}
		for _, e := range v.History {
			if len(args) == 0 || e.Role == args[0] {
				events = append(events, e)
			}
		}
		return show(cmd, events, func(t *tabwriter.Writer) {
			fmt.Fprintln(t, "index\tduty\twhat\twho\ttoken")
			for _, e := range events {
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\n", e.Index, e.Role, e.Kind, e.Instance, e.Token)
			}
		})
	}}
	who := &cobra.Command{Use: "voters", Short: "Who votes, who learns, who is heard of", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		v, all, err := look()
		if err != nil {
			return err
		}
		warn(cmd, v)
		return show(cmd, all, func(t *tabwriter.Writer) {
			fmt.Fprintf(t, "leader\t%s\tterm %d\tapplied %d\n\n", v.Leader, v.Term, v.AppliedIndex)
			fmt.Fprintln(t, "voter\tnumber\trole\thas the log to\theard of")
			for _, o := range v.Voters {
				role, heard := "votes", fmt.Sprintf("%.0f ms ago", o.SinceContactMs)
				if o.Learner {
					role = "learns"
				} else if o.Leaving {
					role = "leaves"
				}
				if o.SinceContactMs < 0 {
					heard = "-"
				}
				fmt.Fprintf(t, "%s\t%x\t%s\t%d\t%s\n", o.Name, o.ID, role, o.MatchIndex, heard)
			}
			fmt.Fprintln(t, "\nanswers at\tname\tapplied\tsyncs\tsent\tdisk")
			at := make([]string, 0, len(all))
			for a := range all {
				at = append(at, a)
			}
			sort.Strings(at)
			for _, a := range at {
				o := all[a]
				fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\n", a, o.Name, o.AppliedIndex, o.SyncCount, o.MessagesSent, o.DiskFault)
			}
		})
	}}
	instances := &cobra.Command{Use: "instances", Short: "Who asks for duties, each life of it, and how long ago", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		v, _, err := look()
		if err != nil {
			return err
		}
		warn(cmd, v)
		return show(cmd, v.RequestAgesMs, func(t *tabwriter.Writer) {
			fmt.Fprintln(t, "instance\tasked")
			for _, n := range slices.Sorted(maps.Keys(v.RequestAgesMs)) {
				fmt.Fprintf(t, "%s\t%.0f ms ago\n", n, v.RequestAgesMs[n])
			}
		})
	}}
	do := func(cmd *cobra.Command, c lease.Command) error {
		peers, err := dial()
		if err != nil {
			return err
		}
		// Addresses are what is known here; a voter names another by its name.
		ctx, end := context.WithTimeout(context.Background(), within)
		defer end()
		for at, p := range peers {
			if v, err := p.Status(ctx); err == nil && v.Name != "" && v.Name != at {
				peers[v.Name] = p
			}
		}
		d, err := transport.SubmitToLeader(ctx, peers, "", c)
		switch {
		case err != nil:
			return err
		case !d.OutcomeKnown:
			return fmt.Errorf("it may or may not have been agreed on (%s): look before you try again", d.Reason)
		case !d.OK:
			return fmt.Errorf("refused: %s (the latest token is %d, the owner %q)", d.Reason, d.Role.Token, d.Role.Holder)
		}
		return show(cmd, d.Role, func(t *tabwriter.Writer) {
			fmt.Fprintf(t, "%s\towner %q\ttoken %d\tnext %q\n", d.Role.Name, d.Role.Holder, d.Role.Token, d.Role.NextHolder)
		})
	}
	var to string
	var token uint64
	move := &cobra.Command{Use: "move DUTY", Short: "Ask its owner to end its step and hand over", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		if to != "" && !strings.Contains(to, ".") { // a broker's name: which life of it is there is known to the leader
			v, _, err := look()
			if err != nil {
				return err
			}
			lives := []string{}
			for n, ago := range v.RequestAgesMs {
				if name, _, _ := strings.Cut(n, "."); name == to && ago < 10000 {
					lives = append(lives, n)
				}
			}
			if len(lives) != 1 {
				return fmt.Errorf("%q has asked for duties in %d lives lately: %v", to, len(lives), lives)
			}
			to = lives[0]
		}
		return do(cmd, lease.Command{Kind: lease.CommandTransfer, Role: args[0], Token: token, Target: to})
	}}
	move.Flags().StringVar(&to, "to", "", "an instance, or a broker's name; none: whoever it falls to")
	move.Flags().Uint64Var(&token, "token", 0, "the latest that you have seen")
	move.MarkFlagRequired("token")
	release := &cobra.Command{Use: "release DUTY", Short: "Take it from its owner at once; what that one still does is refused once the next has begun", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return do(cmd, lease.Command{Kind: lease.CommandRevoke, Role: args[0], Token: token, Target: to})
		}}
	release.Flags().StringVar(&to, "to", "", "an instance that is to have it")
	release.Flags().Uint64Var(&token, "token", 0, "the latest that you have seen")
	release.MarkFlagRequired("token")
	root.AddCommand(list, one, history, who, instances, move, release)
	return root
}
