package main

import (
	"os"

	"github.com/spf13/cobra"

	"kestrelspread/internal/aggregator/extensions"
	"kestrelspread/internal/aggregator/policy"
	"kestrelspread/internal/aggregator/server"
	"kestrelspread/internal/baseline"
)

// policyPlanned is the zone-aware policy that also knows what the remaining sites can bear.
const policyPlanned = "planned"

// brokerCommand runs a broker in this program, for the sub-commands that compare policies.
func brokerCommand() *cobra.Command {
	var operatorPath, policyName string
	c := &cobra.Command{
		Use: "broker", Hidden: true, Args: cobra.NoArgs,
		Short: "Run a broker, with another policy in the module's place if one is named",
		RunE: func(*cobra.Command, []string) error {
			var list []server.Extension
			if policyName != "" {
				list = append(list, policyExtension(policyName))
			}
			if operatorPath != "" {
				list = append(list, extensions.Extension(operatorPath))
			}
			return server.Run(os.Stderr, list...)
		},
	}
	c.Flags().StringVar(&operatorPath, "operator", "", "")
	c.Flags().StringVar(&policyName, "policy", "", "")
	return c
}

// policyExtension replaces the module's policy by the one named: one that sees whole sites, or one
// of the baselines.
func policyExtension(name string) server.Extension {
	return func(host *server.Host) (server.Hooks, error) {
		newPolicy := func(out policy.Executor, seed uint64) policy.Decider { return newBaseline(host, name, out, seed) }
		switch name {
		case policySighted:
			newPolicy = host.Settings.NewZoneAwarePolicy
		case policyPlanned:
			newPolicy = host.Settings.NewCapacityAwarePolicy
		}
		host.Engine.ReplacePolicy(func(out policy.Executor) policy.Decider { return newPolicy(out, host.Seed) })
		return server.Hooks{}, nil
	}
}

// newBaseline returns a baseline policy with the broker's zone and settings.
func newBaseline(host *server.Host, name string, out policy.Executor, seed uint64) policy.Decider {
	b := baseline.New(name, out, seed)
	b.SetHomeZone(host.Settings.Int("zone", 0))
	host.Settings.Configure(b)
	return b
}
