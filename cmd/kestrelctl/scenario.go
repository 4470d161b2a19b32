package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"kestrelspread/internal/harness/scenario"
)

// policySighted is the zone-aware policy: the only one whose missed expectations count as failures.
const policySighted = "sighted"

// policyModule is the module without sight of sites, which the broker has under no name.
const policyModule = "module"

// scenarioCommand plays scenarios, and checks and prints their files.
func scenarioCommand() *cobra.Command {
	root := &cobra.Command{Use: "scenario", Short: "Play faults between brokers, servers and clients, all on loopback"}
	root.AddCommand(scenarioRun(), scenarioShow(), scenarioSchema())
	return root
}

// scenarioRunOptions are the flags of scenario run.
type scenarioRunOptions struct {
	policies  []string
	plotPath  string
	directory string
	asJSON    bool
	short     bool
	// seed replaces the file's unless it is 0.
	seed uint64
}

func scenarioRun() *cobra.Command {
	options := &scenarioRunOptions{}
	c := &cobra.Command{
		Use: "run FILE...", Args: cobra.MinimumNArgs(1),
		Short: "Play scenarios; exit 1 where a rule broke or an expectation is missed",
		RunE: func(cmd *cobra.Command, paths []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			failures := 0
			for _, path := range paths {
				failed, err := options.runFile(ctx, cmd, path, len(paths) > 1)
				if err != nil {
					return err
				}
				failures += failed
			}
			if failures > 0 {
				return fmt.Errorf("%d rules broken or expectations missed", failures)
			}
			return nil
		},
	}
	c.Flags().StringSliceVar(&options.policies, "policy", []string{policySighted}, "sighted (the module with sight of whole sites), planned (and of what is borne), module (without), failover, roundrobin, random; one after another")
	c.Flags().StringVar(&options.plotPath, "plot", "", "a PNG or SVG file for value served by second")
	c.Flags().StringVar(&options.directory, "keep", "", "a folder for configurations and logs")
	c.Flags().BoolVar(&options.asJSON, "json", false, "the reports, a line each")
	c.Flags().BoolVar(&options.short, "short", false, "half the size, a third of the time: whether a rule breaks, not how well it goes")
	c.Flags().Uint64Var(&options.seed, "seed", 0, "in place of the file's")
	return c
}

// runFile plays one scenario, prints and plots its reports, and returns how many rules broke and
// expectations were missed. With several files, the plot's name gets the scenario's.
func (o *scenarioRunOptions) runFile(ctx context.Context, cmd *cobra.Command, path string, several bool) (failures int, err error) {
	file, err := readScenario(path)
	if err != nil {
		return 0, err
	}
	if o.seed > 0 {
		file.Seed = o.seed
	}
	if o.short {
		file = file.Short()
	}
	reports, err := play(ctx, cmd, file, o.policies, o.directory)
	if err != nil {
		return 0, err
	}
	for _, report := range reports {
		o.print(cmd.OutOrStdout(), report)
		failures += len(report.Violations)
		// The other policies are there for comparison, and may miss what is expected.
		if report.Policy == policySighted {
			failures += len(report.FailedExpectations)
		}
	}
	if o.plotPath == "" {
		return failures, nil
	}
	plotPath := o.plotPath
	if several {
		extension := filepath.Ext(plotPath)
		plotPath = strings.TrimSuffix(plotPath, extension) + "-" + file.Name + extension
	}
	return failures, scenario.Plot(plotPath, reports...)
}

func (o *scenarioRunOptions) print(out io.Writer, report *scenario.Report) {
	if o.asJSON {
		encoded, _ := json.Marshal(report)
		fmt.Fprintln(out, string(encoded))
		return
	}
	report.Print(out)
	fmt.Fprintln(out)
}

func scenarioShow() *cobra.Command {
	c := &cobra.Command{Use: "show FILE", Short: "Check a scenario and print its schedule", Args: cobra.ExactArgs(1)}
	c.RunE = func(cmd *cobra.Command, args []string) error {
		file, err := readScenario(args[0])
		if err != nil {
			return err
		}
		out := cmd.OutOrStdout()
		fmt.Fprintf(out, "%s: %s\n", file.Name, file.Description)
		fmt.Fprintf(out, "%v s, seed %d, %d servers, %d shards on %d each\n", file.Seconds, file.Seed, len(file.ServerLayout()),
			file.ShardCount, file.ReplicaCount)
		for _, step := range file.Schedule(func(target string, _ float64) []string { return []string{target} }) {
			fmt.Fprintln(out, step)
		}
		return nil
	}
	return c
}

func scenarioSchema() *cobra.Command {
	c := &cobra.Command{Use: "schema", Short: "Print the form of scenario files", Args: cobra.NoArgs}
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		_, err := cmd.OutOrStdout().Write(scenario.Schema)
		return err
	}
	return c
}

// readScenario reads and checks a scenario file.
func readScenario(path string) (*scenario.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file, err := scenario.Read(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

// play plays a scenario once for each policy, one after another: side by side they would compete
// for CPU time. Configurations and logs go to the directory; where none is named, to temporary ones
// that are removed at the end.
func play(ctx context.Context, cmd *cobra.Command, file *scenario.File, policies []string, directory string) ([]*scenario.Report, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	logProgress := func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
	var reports []*scenario.Report
	for _, policy := range policies {
		if policy == policyModule {
			policy = ""
		}
		playDirectory, remove, err := makePlayDirectory(directory, file.Name+"-"+policy)
		if err != nil {
			return reports, err
		}
		defer remove()
		report, err := scenario.Play(ctx, file, scenario.Options{Program: []string{self, "broker"}, Policy: policy, Dir: playDirectory,
			Printf: logProgress})
		if err != nil {
			return reports, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// makePlayDirectory makes the directory of one play in its parent, to be kept, or a temporary one
// where there is no parent.
func makePlayDirectory(parent, name string) (path string, remove func(), err error) {
	if parent == "" {
		path, err = os.MkdirTemp("", "kestrel")
		return path, func() { os.RemoveAll(path) }, err
	}
	path = filepath.Join(parent, name)
	return path, func() {}, os.MkdirAll(path, 0o700)
}
