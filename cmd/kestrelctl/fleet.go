package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/spf13/cobra"

	"kestrelspread/internal/harness/fleet"
)

// fleetCommand looks at the nodes of a router fleet, and plays a small one.
func fleetCommand() *cobra.Command {
	root := &cobra.Command{Use: "fleet", Short: "Look at the nodes of a router fleet, or play a small one"}
	root.AddCommand(fleetStatus(), fleetDemo(), fleetFaults())
	return root
}

// nodeProgram is the program of a node, which the demonstration starts.
const nodeProgram = "kestrelnode"

// fleetDemo plays a small fleet of real nodes.
func fleetDemo() *cobra.Command {
	options := fleet.DemoOptions{}
	c := &cobra.Command{
		Use: "demo", Args: cobra.NoArgs,
		Short: "Play a small fleet of real nodes through changes and troubles; exit 1 where an answer or a change was lost or a rule broke",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if options.Binary, err = findNodeProgram(options.Binary); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			breaches, err := fleet.Demo(ctx, cmd.OutOrStdout(), options)
			for _, breach := range breaches {
				fmt.Fprintln(cmd.OutOrStdout(), "broken:", breach)
			}
			if err == nil && len(breaches) > 0 {
				err = fmt.Errorf("%d breaches", len(breaches))
			}
			return err
		},
	}
	c.Flags().IntVar(&options.Seconds, "seconds", 36, "of load; starting and ending take some more")
	c.Flags().StringVar(&options.Binary, "binary", "", "path of "+nodeProgram+"; none: it stands beside this program")
	c.Flags().StringVar(&options.Dir, "dir", "", "folder for settings, disks and logs, which are kept; none: a temporary one")
	return c
}

// findNodeProgram returns the absolute path of the nodes' program: the one named, or the one that
// stands beside this program.
func findNodeProgram(named string) (string, error) {
	path := named
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(self), nodeProgram)
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() {
		return "", fmt.Errorf("there is no %s; build it with `go build -o bin/ ./cmd/...`, or name it with --binary", path)
	}
	return filepath.Abs(path)
}
