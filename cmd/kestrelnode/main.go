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
	"kestrelspread/internal/node/settings"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
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

type runCommand struct{}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run one node until SIGTERM" }
func (*runCommand) Usage() string {
	return "run: run one node; " + settingsVariable + " names its settings file\n"
}
func (*runCommand) SetFlags(*flag.FlagSet) {}
func (*runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, err := settingsPath()
	if err == nil {
		err = agent.Run(ctx, path, os.Stderr)
	}
	return report(err)
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
