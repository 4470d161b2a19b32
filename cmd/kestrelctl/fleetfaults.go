package main

import (
	"os"
	"os/signal"
	"runtime"

	"github.com/spf13/cobra"

	"kestrelspread/internal/harness/faultrun"
)

// fleetFaults plays complete fleets under a virtual clock, with faults that follow from seeds.
func fleetFaults() *cobra.Command {
	options := faultrun.CampaignOptions{}
	replay, timeline := "", false
	c := &cobra.Command{
		Use: "faults", Args: cobra.NoArgs,
		Short: "Play the control side of whole fleets through troubles from seeds; exit 1 where something that is promised broke",
		Long: "Each seed is a fleet with its troubles, under a virtual clock. One that breaks what is promised is cut down to the troubles " +
			"that it needs and printed as a plan, which --replay plays again with a log.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			switch {
			case timeline:
				return faultrun.Timeline(cmd.OutOrStdout(), faultrun.PlanOf(options.First))
			case replay == "":
				return faultrun.Campaign(ctx, cmd.OutOrStdout(), options)
			}
			text, err := os.ReadFile(replay)
			if err != nil {
				return err
			}
			return faultrun.Replay(cmd.OutOrStdout(), text)
		},
	}
	c.Flags().Uint64Var(&options.First, "first", 0, "the first seed")
	c.Flags().Uint64Var(&options.Last, "last", 199, "the last seed")
	c.Flags().IntVar(&options.Jobs, "jobs", max(1, runtime.NumCPU()/2), "runs at a time")
	c.Flags().IntVar(&options.ShrinkPlays, "shrink", 200, "how many plays a failing plan may take to be cut down")
	c.Flags().StringVar(&replay, "replay", "", "file with a plan to play again")
	c.Flags().BoolVar(&timeline, "timeline", false, "play the first seed alone and print a table of its core by second")
	return c
}
