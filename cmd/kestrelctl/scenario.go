package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"kestrelspread/internal/fleet/lossplan"
	"kestrelspread/internal/harness/scenario"
)

func readScenario(file string) (*scenario.File, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	f, err := scenario.Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return f, nil
}

func scenarios() *cobra.Command {
	root := &cobra.Command{Use: "scenario", Short: "Play faults between brokers, servers and clients, all on loopback"}
	var policies []string
	var plot, dir string
	var asJSON, short bool
	var seed uint64
	run := &cobra.Command{Use: "run FILE...", Short: "Play scenarios; exit 1 where a rule broke or an expectation is missed", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			bad := 0
			for _, file := range args {
				f, err := readScenario(file)
				if err != nil {
					return err
				}
				if seed > 0 {
					f.Seed = seed
				}
				if short {
					f = f.Short()
				}
				reports, err := play(ctx, cmd, f, policies, dir)
				if err != nil {
					return err
				}
				for _, r := range reports {
					if asJSON {
						b, _ := json.Marshal(r)
						fmt.Fprintln(cmd.OutOrStdout(), string(b))
					} else {
						r.Print(cmd.OutOrStdout())
						fmt.Fprintln(cmd.OutOrStdout())
					}
					if bad += len(r.Violations); r.Policy == "sighted" { // who else misses what is expected is there to compare with
						bad += len(r.FailedExpectations)
					}
				}
				if plot != "" {
					at := plot
					if len(args) > 1 {
						at = strings.TrimSuffix(plot, filepath.Ext(plot)) + "-" + f.Name + filepath.Ext(plot)
					}
					if err := scenario.Plot(at, reports...); err != nil {
						return err
					}
				}
			}
			if bad > 0 {
				return fmt.Errorf("%d rules broken or expectations missed", bad)
			}
			return nil
		}}
	run.Flags().StringSliceVar(&policies, "policy", []string{"sighted"}, "sighted (the module with sight of whole sites), planned (and of what is borne), module (without), failover, roundrobin, random; one after another")
	run.Flags().StringVar(&plot, "plot", "", "a PNG or SVG file for value served by second")
	run.Flags().StringVar(&dir, "keep", "", "a folder for configurations and logs")
	run.Flags().BoolVar(&asJSON, "json", false, "the reports, a line each")
	run.Flags().BoolVar(&short, "short", false, "half the size, a third of the time: whether a rule breaks, not how well it goes")
	run.Flags().Uint64Var(&seed, "seed", 0, "in place of the file's")
	show := &cobra.Command{Use: "show FILE", Short: "Check a scenario and print its schedule", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := readScenario(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n%v s, seed %d, %d servers, %d shards on %d each\n", f.Name, f.Description, f.Seconds, f.Seed, len(f.ServerLayout()), f.ShardCount, f.ReplicaCount)
			for _, s := range f.Schedule(func(p string, _ float64) []string { return []string{p} }) {
				fmt.Fprintln(cmd.OutOrStdout(), s)
			}
			return nil
		}}
	schema := &cobra.Command{Use: "schema", Short: "Print the form of scenario files", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		_, err := cmd.OutOrStdout().Write(scenario.Schema)
		return err
	}}
	root.AddCommand(run, show, schema)
	return root
}

// play plays a scenario once for each policy, one after another: side by side they would take each other's CPU.
func play(ctx context.Context, cmd *cobra.Command, f *scenario.File, policies []string, dir string) (list []*scenario.Report, err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	for _, p := range policies {
		if p == "module" {
			p = ""
		}
		at := dir
		if at == "" {
			if at, err = os.MkdirTemp("", "kestrel"); err != nil {
				return list, err
			}
			defer os.RemoveAll(at)
		} else {
			at = filepath.Join(dir, f.Name+"-"+p)
			if err := os.MkdirAll(at, 0o700); err != nil {
				return list, err
			}
		}
		r, err := scenario.Play(ctx, f, scenario.Options{Program: []string{self, "broker"}, Policy: p, Dir: at,
			Printf: func(form string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), form+"\n", args...) }})
		if err != nil {
			return list, err
		}
		list = append(list, r)
	}
	return list, nil
}

func site() *cobra.Command {
	root := &cobra.Command{Use: "site", Short: "Plan for the loss of sites, and drill it"}
	var asJSON bool
	var pairs bool
	c := &cobra.Command{Use: "plan FILE", Short: "Tell for the loss of each site, and of any two, what is served and what is refused, and why", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := readScenario(args[0])
			if err != nil {
				return err
			}
			list, err := f.Fleet().AllLosses()
			if err != nil {
				return err
			}
			if !pairs {
				list = list[:1+len(f.Sites)]
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(list)
			}
			return printPlan(cmd, list)
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.Flags().BoolVar(&pairs, "pairs", true, "the loss of any two, too")
	var lost, plot string
	var seconds float64
	d := &cobra.Command{Use: "drill FILE", Short: "Play the loss of a site and set what was planned beside what was measured", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := readScenario(args[0])
			if err != nil {
				return err
			}
			if lost == "" {
				lost = f.Sites[len(f.Sites)-1].Name
			}
			at := -1
			for i, s := range f.Sites {
				if s.Name == lost {
					at = i
				}
			}
			if at < 0 {
				return fmt.Errorf("no site %q", lost)
			}
			f.Timeline = []scenario.Fault{{AtS: seconds, DurationS: seconds, Action: "lose", Target: "@" + lost, Share: 1, Direction: "both"}}
			f.Seconds = 3 * seconds
			o, err := f.Fleet().WithoutSites(at)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			reports, err := play(ctx, cmd, f, []string{"sighted"}, "")
			if err != nil {
				return err
			}
			r := reports[0]
			r.Print(cmd.OutOrStdout())
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintf(t, "\nwithout %s\tplanned\tmeasured\t\n", lost)
			for _, p := range r.Phases {
				if p.Name != "settled" {
					continue
				}
				for i, s := range o.Types {
					fmt.Fprintf(t, "%s served\t%.3f\t%.3f\t\n", s.Name, s.Served(), p.ServedShares[i])
				}
			}
			t.Flush()
			if plot != "" {
				if err := scenario.Plot(plot, r); err != nil {
					return err
				}
			}
			if len(r.Violations) > 0 {
				return fmt.Errorf("%d rules broken", len(r.Violations))
			}
			return nil
		}}
	d.Flags().StringVar(&lost, "lose", "", "the site; the file's last one where none is named")
	d.Flags().StringVar(&plot, "plot", "", "a PNG or SVG file")
	d.Flags().Float64Var(&seconds, "seconds", 8, "before, without it, and after it, each")
	root.AddCommand(c, d)
	return root
}

func printPlan(cmd *cobra.Command, list []*lossplan.Outcome) error {
	out := cmd.OutOrStdout()
	for _, o := range list {
		name := "nothing lost"
		if len(o.LostSites) > 0 {
			name = "without " + strings.Join(o.LostSites, " and ")
		}
		fmt.Fprintf(out, "%s: the survivors bear %.0f sub-requests a second, %.0f are asked; value %.1f a second (at best %.1f)\n", name, o.CapacityPerS, o.DemandPerS, o.Goodput, o.BestGoodput)
		if len(o.UnavailableShards) > 0 {
			fmt.Fprintf(out, "  shards without a holder: %v\n", o.UnavailableShards)
		}
		t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "  type\twhole\tin part\tno holder\tleast value first\t")
		for _, s := range o.Types {
			fmt.Fprintf(t, "  %s\t%.3f\t%.3f\t%.3f\t%.3f\t\n", s.Name, s.Complete, s.Partial, s.NoReplica, s.Shed)
		}
		t.Flush()
		for _, why := range o.Explanation {
			fmt.Fprintln(out, "  -", why)
		}
	}
	return nil
}
