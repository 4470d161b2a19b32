// Command kestrelctl is the operators' and newcomers' command line; each sub-command calls a package.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "kestrelctl:", err)
		os.Exit(1)
	}
}

// command returns the root command with all sub-commands.
func command() *cobra.Command {
	root := &cobra.Command{Use: "kestrelctl", Short: "Try brokers out and measure them", SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(
		demoCommand(), measureCommand(), ledgerCommand(), scenarioCommand(), siteCommand(), ownerCommand(), fleetCommand(),
		brokerCommand(), floodCommand(),
	)
	return root
}
