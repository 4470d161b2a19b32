// Command kestrelctl is the operators' and newcomers' command line; each sub-command calls a package.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/aggregator/extensions"
	"kestrelspread/internal/baseline"
	"kestrelspread/internal/harness"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "kestrelctl:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "kestrelctl", Short: "Try brokers out and measure them", SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(demo(), measure(), useLedger(), scenarios(), site(), ownerCommand(), fleetCommand(), plain(), flood())
	return root
}

func demo() *cobra.Command {
	var seconds int
	c := &cobra.Command{Use: "demo", Short: "Play a broker in front of stand-in servers that get into trouble", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			broken, err := harness.Demo(cmd.OutOrStdout(), seconds)
			for i, b := range broken {
				if i == 10 {
					fmt.Fprintf(cmd.OutOrStdout(), "and %d more\n", len(broken)-i)
					break
				}
				fmt.Fprintln(cmd.OutOrStdout(), "broken:", b)
			}
			if err == nil && len(broken) > 0 {
				err = fmt.Errorf("%d breaches of the rules", len(broken))
			}
			return err
		}}
	c.Flags().IntVar(&seconds, "seconds", 16, "how long; starting and ending take some more")
	return c
}

func measure() *cobra.Command {
	root := &cobra.Command{Use: "measure", Short: "Take the figures of docs/measure again, on stand-in servers"}
	var seconds int
	var binaries, parts []string
	c := &cobra.Command{Use: "grpc", Short: "gRPC: latency, CPU, open streams, servers in trouble, floods, and what it costs switched off",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			return harness.MeasureGRPC(cmd.OutOrStdout(), seconds, binaries, parts)
		}}
	c.Flags().IntVar(&seconds, "seconds", 5, "of each part")
	c.Flags().StringSliceVar(&parts, "parts", nil, "unary, streams, trouble, floods, idle; all where none is named")
	c.Flags().StringSliceVar(&binaries, "idle", nil, "broker programs whose memory at rest is compared")
	root.AddCommand(c)
	return root
}

// flood is for measure, in a process of its own.
func flood() *cobra.Command {
	var at, kind string
	var span time.Duration
	c := &cobra.Command{Use: "flood", Short: "Be rude to a broker on loopback for a while", Hidden: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			n, err := harness.Flood(at, kind, span)
			fmt.Fprintln(cmd.OutOrStdout(), n)
			return err
		}}
	c.Flags().StringVar(&at, "at", "", "")
	c.Flags().StringVar(&kind, "kind", "", "")
	c.Flags().DurationVar(&span, "span", time.Second, "")
	return c
}

// plain is a broker in this program, for the sub-commands that compare policies.
func plain() *cobra.Command {
	var operator, policyName string
	c := &cobra.Command{Use: "broker", Short: "Run a broker, with another policy in the module's place if one is named", Hidden: true,
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			var list []server.Extension
			if policyName == "sighted" || policyName == "planned" {
				list = append(list, func(p *server.Host) (server.Hooks, error) {
					view := p.Settings.NewZoneAwarePolicy
					if policyName == "planned" {
						view = p.Settings.NewCapacityAwarePolicy
					}
					p.Engine.ReplacePolicy(func(out policy.Out) policy.Port { return view(out, p.Seed) })
					return server.Hooks{}, nil
				})
			} else if policyName != "" {
				list = append(list, func(p *server.Host) (server.Hooks, error) {
					p.Engine.ReplacePolicy(func(out policy.Out) policy.Port {
						b := baseline.New(policyName, out, p.Seed)
						b.Home(p.Settings.Int("zone", 0))
						p.Settings.Configure(b)
						return b
					})
					return server.Hooks{}, nil
				})
			}
			if operator != "" {
				list = append(list, extensions.Extension(operator))
			}
			return server.Run(os.Stderr, list...)
		}}
	c.Flags().StringVar(&operator, "operator", "", "")
	c.Flags().StringVar(&policyName, "policy", "", "")
	return c
}
