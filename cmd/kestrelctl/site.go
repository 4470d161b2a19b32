package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"kestrelspread/internal/fleet/lossplan"
	"kestrelspread/internal/harness/scenario"
)

// siteCommand computes what the loss of sites costs, and plays such a loss.
func siteCommand() *cobra.Command {
	root := &cobra.Command{Use: "site", Short: "Plan for the loss of sites, and drill it"}
	root.AddCommand(sitePlan(), siteDrill())
	return root
}

func sitePlan() *cobra.Command {
	var asJSON, pairs bool
	c := &cobra.Command{
		Use: "plan FILE", Args: cobra.ExactArgs(1),
		Short: "Tell for the loss of each site, and of any two, what is served and what is refused, and why",
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := readScenario(args[0])
			if err != nil {
				return err
			}
			// The outcome without a loss comes first, then those of single sites, then those of pairs.
			outcomes, err := file.Fleet().AllLosses()
			if err != nil {
				return err
			}
			if !pairs {
				outcomes = outcomes[:1+len(file.Sites)]
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(outcomes)
			}
			for _, outcome := range outcomes {
				printOutcome(cmd.OutOrStdout(), outcome)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.Flags().BoolVar(&pairs, "pairs", true, "the loss of any two, too")
	return c
}

// printOutcome prints what is served and shed after the loss of an outcome's sites.
func printOutcome(out io.Writer, outcome *lossplan.Outcome) {
	name := "nothing lost"
	if len(outcome.LostSites) > 0 {
		name = "without " + strings.Join(outcome.LostSites, " and ")
	}
	fmt.Fprintf(out, "%s: the survivors bear %.0f sub-requests a second, %.0f are asked; value %.1f a second (at best %.1f)\n", name,
		outcome.CapacityPerS, outcome.DemandPerS, outcome.Goodput, outcome.BestGoodput)
	if len(outcome.UnavailableShards) > 0 {
		fmt.Fprintf(out, "  shards without a holder: %v\n", outcome.UnavailableShards)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "  type\twhole\tin part\tno holder\tleast value first\t")
	for _, queryType := range outcome.Types {
		fmt.Fprintf(table, "  %s\t%.3f\t%.3f\t%.3f\t%.3f\t\n", queryType.Name, queryType.Complete, queryType.Partial,
			queryType.NoReplica, queryType.Shed)
	}
	table.Flush()
	for _, reason := range outcome.Explanation {
		fmt.Fprintln(out, "  -", reason)
	}
}

// siteDrillOptions are the flags of site drill.
type siteDrillOptions struct {
	// lostSite is the file's last site where none is named.
	lostSite string
	plotPath string
	// phaseSeconds is how long each third of the drill takes: before, without and after the site.
	phaseSeconds float64
}

func siteDrill() *cobra.Command {
	options := &siteDrillOptions{}
	c := &cobra.Command{
		Use: "drill FILE", Args: cobra.ExactArgs(1),
		Short: "Play the loss of a site and set what was planned beside what was measured",
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := readScenario(args[0])
			if err != nil {
				return err
			}
			return options.run(cmd, file)
		},
	}
	c.Flags().StringVar(&options.lostSite, "lose", "", "the site; the file's last one where none is named")
	c.Flags().StringVar(&options.plotPath, "plot", "", "a PNG or SVG file")
	c.Flags().Float64Var(&options.phaseSeconds, "seconds", 8, "before, without it, and after it, each")
	return c
}

// run plays the loss of a site, and prints the plan beside the measurement.
func (o *siteDrillOptions) run(cmd *cobra.Command, file *scenario.File) error {
	lostSite := o.lostSite
	if lostSite == "" {
		lostSite = file.Sites[len(file.Sites)-1].Name
	}
	siteIndex := lastSiteNamed(file, lostSite)
	if siteIndex < 0 {
		return fmt.Errorf("no site %q", lostSite)
	}
	file.Timeline = []scenario.Fault{{AtS: o.phaseSeconds, DurationS: o.phaseSeconds, Action: "lose", Target: "@" + lostSite, Share: 1,
		Direction: "both"}}
	file.Seconds = 3 * o.phaseSeconds
	planned, err := file.Fleet().WithoutSites(siteIndex)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
	defer stop()
	reports, err := play(ctx, cmd, file, []string{policySighted}, "")
	if err != nil {
		return err
	}
	measured := reports[0]
	measured.Print(cmd.OutOrStdout())
	printComparison(cmd.OutOrStdout(), lostSite, planned, measured)
	if o.plotPath != "" {
		if err := scenario.Plot(o.plotPath, measured); err != nil {
			return err
		}
	}
	if len(measured.Violations) > 0 {
		return fmt.Errorf("%d rules broken", len(measured.Violations))
	}
	return nil
}

// lastSiteNamed returns the index of the last site of that name, or -1.
func lastSiteNamed(file *scenario.File, name string) int {
	for i, site := range slices.Backward(file.Sites) {
		if site.Name == name {
			return i
		}
	}
	return -1
}

// settledPhase is the part of a play in which the fleet has adapted to the loss: only it can be
// compared with a plan.
const settledPhase = "settled"

// printComparison prints the planned beside the measured share that is served, by query type.
func printComparison(out io.Writer, lostSite string, planned *lossplan.Outcome, measured *scenario.Report) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "\nwithout %s\tplanned\tmeasured\t\n", lostSite)
	for _, phase := range measured.Phases {
		if phase.Name != settledPhase {
			continue
		}
		for i, queryType := range planned.Types {
			fmt.Fprintf(table, "%s served\t%.3f\t%.3f\t\n", queryType.Name, queryType.Served(), phase.ServedShares[i])
		}
	}
	table.Flush()
}
