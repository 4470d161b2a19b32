package main

import (
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"kestrelspread/internal/rig/scale"
)

// The bound on the time of a scale run.
const scaleRunMost = 4 * time.Minute

// fleetScale measures how what a node takes grows with the fleet.
func fleetScale() *cobra.Command {
	var hollow bool
	var jsonPath, plotPath, binary string
	options := scale.RunOptions{}
	c := &cobra.Command{
		Use: "scale", Args: cobra.NoArgs,
		Short: "Measure what a node of the fleet sends, holds and computes as the fleet grows (docs/CAPACITY.md)",
		Long: "Runs hollow nodes, the nodes' own state machines many to one process under a virtual clock, at each size, and a few\n" +
			"real ones on loopback beside them; exit 1 where a node's share grows too fast with the fleet.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !hollow {
				path, err := findNodeProgram(binary)
				if err != nil {
					return err
				}
				options.Binary = path
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			report, err := scale.Run(ctx, cmd.OutOrStdout(), options)
			if err != nil {
				return err
			}
			if err := save(report, jsonPath, plotPath); err != nil {
				return err
			}
			if len(report.Broken) > 0 {
				return fmt.Errorf("%d bounds of growth are broken", len(report.Broken))
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&options.Sizes, "sizes", []int{10, 30, 100, 300}, "numbers of proxies; the machines of the core come beside them")
	c.Flags().BoolVar(&hollow, "hollow", false, "hollow nodes alone")
	c.Flags().BoolVar(&options.NoEvents, "no-events", false, "leave the index of kept prompts out")
	c.Flags().BoolVar(&options.NoTroubles, "no-troubles", false, "leave losses, ends and cuts out")
	c.Flags().BoolVar(&options.AskedIndex, "try-asked-index", false, "try homes that answer questions in place of telling all proxies; the nodes don't do that")
	c.Flags().BoolVar(&options.Relayed, "try-relayed-updates", false, "try updates of brokers that a node of each zone passes on; the nodes don't do that")
	c.Flags().DurationVar(&options.Most, "most", scaleRunMost, "the time within which the last phase has to begin")
	c.Flags().Uint64Var(&options.Seed, "seed", 1, "of all chance")
	c.Flags().StringVar(&jsonPath, "json", "", "file for the results")
	c.Flags().StringVar(&plotPath, "plot", "", "file for a plot: .svg, .png or .pdf")
	c.Flags().StringVar(&binary, "binary", "", "path of "+nodeProgram+"; none: it stands beside this program")
	return c
}

func save(report *scale.Report, jsonPath, plotPath string) error {
	if jsonPath != "" {
		if err := report.Write(jsonPath); err != nil {
			return err
		}
	}
	if plotPath == "" {
		return nil
	}
	return report.Plot(plotPath)
}
