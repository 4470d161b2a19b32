// Command kestrelnode runs one node of the router fleet: proxy, registry, and on machines that count for
// the quorum a member of the control chain. See docs/design/system.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"kestrelspread/internal/node/agent"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/settings"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&mechanismsCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// settingsPath returns the path of the settings file, which the environment has to name (DEPLOY.md).
func settingsPath() (string, error) {
	path := os.Getenv(settings.EnvironmentVariable)
	if path == "" {
		return "", fmt.Errorf("%s is not set: it names the settings file", settings.EnvironmentVariable)
	}
	return path, nil
}

// runCommand runs a node until it is stopped.
type runCommand struct {
	disable string // names of mechanisms, separated by commas
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "run one node until SIGTERM" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return "run [--disable NAME,...]: run one node; " + settings.EnvironmentVariable + " names its settings file\n"
}

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.disable, "disable", "", "mechanisms of the decisions to switch off, see `kestrelnode mechanisms`")
}

// Execute implements subcommands.Command.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, err := settingsPath()
	var disabled mechanism.Set
	if err == nil {
		disabled, err = mechanism.Parse(c.disable)
	}
	if err == nil {
		err = agent.Run(ctx, path, disabled, os.Stderr)
	}
	return report(err)
}

// mechanismsCommand lists the mechanisms of the decisions.
type mechanismsCommand struct{}

// Name implements subcommands.Command.
func (*mechanismsCommand) Name() string { return "mechanisms" }

// Synopsis implements subcommands.Command.
func (*mechanismsCommand) Synopsis() string { return "list the mechanisms that --disable switches off" }

// Usage implements subcommands.Command.
func (*mechanismsCommand) Usage() string {
	return "mechanisms: a line for each mechanism of the decisions\n"
}

// SetFlags implements subcommands.Command.
func (*mechanismsCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*mechanismsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	for _, mechanism := range mechanism.All() {
		fmt.Printf("%-16s %s\n", mechanism.Name, mechanism.About)
	}
	return subcommands.ExitSuccess
}

// checkCommand validates the settings file.
type checkCommand struct{}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string { return "check: say what is wrong with the settings file\n" }

// SetFlags implements subcommands.Command.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	path, err := settingsPath()
	if err == nil {
		_, err = settings.Load(path)
	}
	return report(err)
}

// report prints the error of a command and returns its exit status.
func report(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, "kestrelnode:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
