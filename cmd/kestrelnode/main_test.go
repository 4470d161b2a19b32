package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/settings"
)

// runLine runs a command line and returns its exit status and what it printed.
func runLine(arguments ...string) (status subcommands.ExitStatus, output, errorOutput string) {
	var out, failures bytes.Buffer
	status = execute(context.Background(), arguments, &out, &failures)
	return status, out.String(), failures.String()
}

func TestMechanismsAreListedALineEach(t *testing.T) {
	status, output, _ := runLine("mechanisms")
	assert.Equal(t, status, subcommands.ExitSuccess)
	assert.Equal(t, strings.Count(output, "\n"), len(mechanism.All()))
	for _, info := range mechanism.All() {
		assert.Assert(t, strings.Contains(output, info.Name+" "), "%s", info.Name)
	}
}

func TestCommandLineErrorsHaveTheirExitStatus(t *testing.T) {
	t.Setenv(settings.EnvironmentVariable, "")
	for _, c := range []struct {
		name      string
		arguments []string
		status    subcommands.ExitStatus
	}{
		{"no command", nil, subcommands.ExitUsageError},
		{"unknown command", []string{"walk"}, subcommands.ExitUsageError},
		{"unknown flag", []string{"run", "--fast"}, subcommands.ExitUsageError},
		{"an argument", []string{"check", "file"}, subcommands.ExitUsageError},
		{"no settings file to run", []string{"run"}, subcommands.ExitFailure},
		{"no settings file to check", []string{"check"}, subcommands.ExitFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, _, failures := runLine(c.arguments...)
			assert.Equal(t, status, c.status)
			assert.Assert(t, failures != "", "nothing is said")
		})
	}
}

func TestFlagsAreAcceptedWithOneDashAndWithTwo(t *testing.T) {
	t.Setenv(settings.EnvironmentVariable, "no-such-file")
	for _, flag := range []string{"-disable", "--disable"} {
		status, _, failures := runLine("run", flag, "no-such-mechanism")
		assert.Equal(t, status, subcommands.ExitFailure)
		assert.Assert(t, strings.Contains(failures, "no-such-mechanism"), failures)
	}
}

func TestInvalidNetworkMapIsAUsageError(t *testing.T) {
	t.Setenv(settings.EnvironmentVariable, "no-such-file")
	status, _, failures := runLine("run", "-netmap", "somewhere")
	assert.Equal(t, status, subcommands.ExitUsageError)
	assert.Assert(t, strings.Contains(failures, "netmap"), failures)
}

func TestHelpNamesAllCommands(t *testing.T) {
	status, output, _ := runLine("help")
	assert.Equal(t, status, subcommands.ExitSuccess)
	for _, name := range []string{"run", "check", "mechanisms"} {
		assert.Assert(t, strings.Contains(output, name), output)
	}
}
