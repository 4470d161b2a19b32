// Command kestrelnode is one node of the router fleet: proxy, registry, and on machines that count for the quorum a
// member of the control chain. See docs/design/system.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"kestrelspread/internal/node/agent"
	"kestrelspread/internal/node/routing"
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

// settingsVariable names the environment variable that holds the path of the settings file (DEPLOY.md).
const settingsVariable = "KESTRELSPREAD_SETTINGS"

func settingsPath() (string, error) {
	path := os.Getenv(settingsVariable)
	if path == "" {
		return "", fmt.Errorf("%s is not set: it names the settings file", settingsVariable)
	}
	return path, nil
}

type runCommand struct{ disable string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run one node until SIGTERM" }
func (*runCommand) Usage() string {
	return "run [--disable NAME,...]: run one node; " + settingsVariable + " names its settings file\n"
}
func (c *runCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.disable, "disable", "", "mechanisms of the decisions to switch off, see `kestrelnode mechanisms`")
}
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, err := settingsPath()
	var disabled routing.Mechanism
	if err == nil {
		disabled, err = routing.ParseMechanisms(c.disable)
	}
	if err == nil {
		err = agent.Run(ctx, path, disabled, os.Stderr)
	}
	return report(err)
}

type mechanismsCommand struct{}

func (*mechanismsCommand) Name() string     { return "mechanisms" }
func (*mechanismsCommand) Synopsis() string { return "list the mechanisms that --disable switches off" }
func (*mechanismsCommand) Usage() string {
	return "mechanisms: a line for each mechanism of the decisions\n"
}
func (*mechanismsCommand) SetFlags(*flag.FlagSet) {}
func (*mechanismsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	for _, mechanism := range routing.Mechanisms() {
		fmt.Printf("%-16s %s\n", mechanism.Name, mechanism.About)
	}
	return subcommands.ExitSuccess
}

type checkCommand struct{}

func (*checkCommand) Name() string           { return "check" }
func (*checkCommand) Synopsis() string       { return "check a settings file" }
func (*checkCommand) Usage() string          { return "check: say what is wrong with the settings file\n" }
func (*checkCommand) SetFlags(*flag.FlagSet) {}
func (*checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	path, err := settingsPath()
	if err == nil {
		_, err = settings.Load(path)
	}
	return report(err)
}

func report(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, "kestrelnode:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
