package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"runtime"

	"github.com/spf13/cobra"

	"kestrelspread/internal/harness/faultrun"
	"kestrelspread/internal/harness/processfaults"
)

// faultOptions are the flags of the command.
type faultOptions struct {
	first, last uint64
	jobs        int
	shrink      int
	replay      string
	timeline    bool
	real        bool
	binary      string
}

// errTimelineOfReal says that a table of the core exists under the virtual clock only.
var errTimelineOfReal = errors.New("--timeline needs the virtual clock, and --real has none")

// fleetFaults plays complete fleets with faults that follow from seeds.
func fleetFaults() *cobra.Command {
	var options faultOptions
	c := &cobra.Command{
		Use: "faults", Args: cobra.NoArgs,
		Short: "Play whole fleets through faults from seeds; exit 1 where something that is promised broke",
		Long: "Each seed is a fleet with its faults: the control side of all nodes under a virtual clock or, with --real, kestrelnode processes " +
			"on loopback, with a relay between each two of them. What breaks a promise is printed as a plan, which --replay plays again with a " +
			"log; under the virtual clock it is first cut down to the faults that it needs.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			return options.play(ctx, cmd.OutOrStdout())
		},
	}
	c.Flags().Uint64Var(&options.first, "first", 0, "the first seed")
	c.Flags().Uint64Var(&options.last, "last", 199, "the last seed")
	c.Flags().IntVar(&options.jobs, "jobs", max(1, runtime.NumCPU()/2), "runs at a time")
	c.Flags().IntVar(&options.shrink, "shrink", 200, "how many plays a failing plan may take to be cut down")
	c.Flags().StringVar(&options.replay, "replay", "", "file with a plan to play again")
	c.Flags().BoolVar(&options.timeline, "timeline", false, "play the first seed alone and print a table of its core by second")
	c.Flags().BoolVar(&options.real, "real", false, "play real processes; each run takes some 15 seconds")
	c.Flags().StringVar(&options.binary, "binary", "", "path of "+nodeProgram+", for --real; none: it stands beside this program")
	return c
}

// play plays what the flags say.
func (o *faultOptions) play(ctx context.Context, out io.Writer) error {
	plan, err := o.readPlan()
	switch {
	case err != nil:
		return err
	case o.real:
		return o.playReal(ctx, out, plan)
	case o.timeline:
		return faultrun.Timeline(out, faultrun.PlanOf(o.first))
	case plan != nil:
		return faultrun.Replay(out, plan)
	default:
		return faultrun.Campaign(ctx, out, faultrun.CampaignOptions{First: o.first, Last: o.last, Jobs: o.jobs, ShrinkPlays: o.shrink})
	}
}

// readPlan reads the file of --replay; nil without it.
func (o *faultOptions) readPlan() ([]byte, error) {
	if o.replay == "" {
		return nil, nil
	}
	return os.ReadFile(o.replay)
}

// playReal plays real processes.
func (o *faultOptions) playReal(ctx context.Context, out io.Writer, plan []byte) error {
	if o.timeline {
		return errTimelineOfReal
	}
	binary, err := findNodeProgram(o.binary)
	if err != nil {
		return err
	}
	if plan != nil {
		return processfaults.Replay(ctx, out, binary, plan)
	}
	return processfaults.Campaign(ctx, out, processfaults.CampaignOptions{Binary: binary, First: o.first, Last: o.last, Jobs: o.jobs})
}
