// Command kestrelnode runs one node of the router fleet: proxy, registry, and on machines that count for
// the quorum a member of the control chain. See docs/design/system.md.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"kestrelspread/internal/node/agent"
	"kestrelspread/internal/node/netmap"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/settings"
)

const programName = "kestrelnode"

func main() {
	os.Exit(int(execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr)))
}

// execute runs a command line. Its exit status is 0, 1 for a failure, and 2 for a command line that the
// program doesn't take; flags may be written with one dash or two.
func execute(ctx context.Context, arguments []string, out, errorOutput io.Writer) subcommands.ExitStatus {
	flags := flag.NewFlagSet(programName, flag.ContinueOnError)
	flags.SetOutput(errorOutput)
	commander := subcommands.NewCommander(flags, programName)
	commander.Output, commander.Error = out, errorOutput
	commander.Register(commander.HelpCommand(), "")
	for _, c := range []subcommands.Command{
		&runCommand{log: errorOutput},
		&checkCommand{},
		&mechanismsCommand{out: out},
	} {
		commander.Register(&reporting{Command: c, out: errorOutput}, "")
	}
	if err := flags.Parse(arguments); err != nil {
		return subcommands.ExitUsageError
	}
	if flags.NArg() == 0 {
		fmt.Fprintf(errorOutput, "%s: a command is needed\n", programName)
	}
	return commander.Execute(ctx)
}

// failing is a command that returns an error rather than an exit status.
type failing interface {
	run(ctx context.Context) error
}

// reporting prints the error of a command and returns the exit status that belongs to it.
type reporting struct {
	subcommands.Command
	out io.Writer
}

// usageError is a command line that the program doesn't take.
type usageError struct{ error }

// Unwrap returns the error of the command line.
func (e usageError) Unwrap() error { return e.error }

// Execute implements subcommands.Command. No command takes arguments beside its flags.
func (r *reporting) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := usageErrorOf(flags)
	if err == nil {
		err = r.Command.(failing).run(ctx)
	}
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintf(r.out, "%s: %v\n", programName, err)
	var usage usageError
	if errors.As(err, &usage) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// usageErrorOf returns an error for arguments that no command takes.
func usageErrorOf(flags *flag.FlagSet) error {
	if flags.NArg() == 0 {
		return nil
	}
	return usageError{fmt.Errorf("%s takes no argument %q", flags.Name(), flags.Arg(0))}
}

// runCommand runs a node until it is stopped.
type runCommand struct {
	log        io.Writer
	disabled   string
	networkMap string
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "run one node until SIGTERM" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return "run [-disable NAMES] [-netmap RULE]:\n  Run one node until SIGTERM. " + settings.EnvironmentVariable + " names its settings file.\n"
}

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.disabled, "disable", "",
		"mechanisms of the decisions to switch off, separated by commas, see `kestrelnode mechanisms`")
	flags.StringVar(&c.networkMap, "netmap", "",
		"FROM/BITS=TO: nodes and brokers that announce addresses of the network FROM are reached from here in the network TO")
}

// Execute implements subcommands.Command; reporting calls run in its place.
func (*runCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return subcommands.ExitFailure
}

func (c *runCommand) run(ctx context.Context) error {
	path, err := settingsPath()
	if err != nil {
		return err
	}
	disabled, err := mechanism.Parse(c.disabled)
	if err != nil {
		return err
	}
	networkMap, err := netmap.Parse(c.networkMap)
	if err != nil {
		return usageError{err}
	}
	return agent.Run(ctx, path, agent.Options{Disabled: disabled, NetworkMap: networkMap}, c.log)
}

// checkCommand validates the settings file.
type checkCommand struct{ noFlags }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "say what is wrong with the settings file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "check:\n  Say what is wrong with the settings file that " + settings.EnvironmentVariable + " names.\n"
}

func (*checkCommand) run(context.Context) error {
	path, err := settingsPath()
	if err != nil {
		return err
	}
	_, err = settings.Load(path)
	return err
}

// mechanismsCommand lists the mechanisms of the decisions.
type mechanismsCommand struct {
	noFlags
	out io.Writer
}

// Name implements subcommands.Command.
func (*mechanismsCommand) Name() string { return "mechanisms" }

// Synopsis implements subcommands.Command.
func (*mechanismsCommand) Synopsis() string {
	return "list the mechanisms that -disable switches off, a line each"
}

// Usage implements subcommands.Command.
func (*mechanismsCommand) Usage() string {
	return "mechanisms:\n  List the mechanisms that run -disable switches off, a line each.\n"
}

func (c *mechanismsCommand) run(context.Context) error {
	for _, info := range mechanism.All() {
		fmt.Fprintf(c.out, "%-16s %s\n", info.Name, info.Description)
	}
	return nil
}

// noFlags is the part of a command without flags that is the same for all.
type noFlags struct{}

// SetFlags implements subcommands.Command.
func (noFlags) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command; reporting calls run in its place.
func (noFlags) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return subcommands.ExitFailure
}

// settingsPath returns the path of the settings file, which the environment has to name (DEPLOY.md).
func settingsPath() (string, error) {
	path := os.Getenv(settings.EnvironmentVariable)
	if path == "" {
		return "", fmt.Errorf("%s is not set: it names the settings file", settings.EnvironmentVariable)
	}
	return path, nil
}
