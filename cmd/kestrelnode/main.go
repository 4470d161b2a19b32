// Command kestrelnode runs one node of the router fleet: proxy, registry, and on machines that count for
// the quorum a member of the control chain. See docs/design/system.md.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"kestrelspread/internal/node/agent"
	"kestrelspread/internal/node/netmap"
	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/settings"
)

// Exit statuses.
const (
	exitFailure    = 1
	exitUsageError = 2
)

// usageError is a command line that the program doesn't take.
type usageError struct{ error }

// Unwrap returns the error of the command line.
func (e usageError) Unwrap() error { return e.error }

func main() {
	root := newRootCommand()
	root.SetArgs(doubleDashes(os.Args[1:]))
	os.Exit(exitStatus(root.Execute()))
}

// exitStatus prints the error of a command and returns the program's exit status.
func exitStatus(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "kestrelnode:", err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsageError
	}
	return exitFailure
}

// doubleDashes gives flags that are written with one dash, as -disable, the second one: both forms are
// accepted.
func doubleDashes(arguments []string) []string {
	accepted := make([]string, len(arguments))
	for i, argument := range arguments {
		if len(argument) > 2 && argument[0] == '-' && argument[1] != '-' {
			argument = "-" + argument
		}
		accepted[i] = argument
	}
	return accepted
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "kestrelnode",
		Short:         "One node of the router fleet",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args: func(_ *cobra.Command, arguments []string) error {
			if len(arguments) > 0 {
				return usageError{fmt.Errorf("unknown command %q", arguments[0])}
			}
			return nil
		},
		RunE: func(command *cobra.Command, _ []string) error {
			command.SetOut(os.Stderr)
			return usageError{errors.Join(errors.New("a command is needed"), command.Help())}
		},
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(newRunCommand(), newCheckCommand(), newMechanismsCommand())
	return root
}

// newRunCommand returns the command that runs a node until it is stopped.
func newRunCommand() *cobra.Command {
	var disabledNames, rule string
	command := &cobra.Command{
		Use:   "run",
		Short: "Run one node until SIGTERM",
		Long:  "Run one node until SIGTERM. " + settings.EnvironmentVariable + " names its settings file.",
		RunE: func(command *cobra.Command, _ []string) error {
			path, err := settingsPath()
			if err != nil {
				return err
			}
			disabled, err := mechanism.Parse(disabledNames)
			if err != nil {
				return err
			}
			networkMap, err := netmap.Parse(rule)
			if err != nil {
				return usageError{err}
			}
			return agent.Run(command.Context(), path, agent.Options{Disabled: disabled, NetworkMap: networkMap}, os.Stderr)
		},
	}
	command.Flags().StringVar(&disabledNames, "disable", "",
		"mechanisms of the decisions to switch off, separated by commas, see `kestrelnode mechanisms`")
	command.Flags().StringVar(&rule, "netmap", "",
		"FROM/BITS=TO: nodes and brokers that announce addresses of the network FROM are reached from here in the network TO")
	return command
}

// newCheckCommand returns the command that validates the settings file.
func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check",
		Short: "Say what is wrong with the settings file",
		RunE: func(*cobra.Command, []string) error {
			path, err := settingsPath()
			if err != nil {
				return err
			}
			_, err = settings.Load(path)
			return err
		},
	}
}

// newMechanismsCommand returns the command that lists the mechanisms of the decisions.
func newMechanismsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "mechanisms",
		Short: "List the mechanisms that --disable switches off, a line each",
		Run: func(command *cobra.Command, _ []string) {
			for _, info := range mechanism.All() {
				fmt.Fprintf(command.OutOrStdout(), "%-16s %s\n", info.Name, info.About)
			}
		},
	}
}

// settingsPath returns the path of the settings file, which the environment has to name (DEPLOY.md).
func settingsPath() (string, error) {
	path := os.Getenv(settings.EnvironmentVariable)
	if path == "" {
		return "", fmt.Errorf("%s is not set: it names the settings file", settings.EnvironmentVariable)
	}
	return path, nil
}
