package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/settings"
)

// execute runs a command line and returns what it printed.
func execute(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var output bytes.Buffer
	root := newRootCommand()
	root.SetArgs(doubleDashes(arguments))
	root.SetOut(&output)
	err := root.Execute()
	return output.String(), err
}

func TestMechanismsAreListedALineEach(t *testing.T) {
	output, err := execute(t, "mechanisms")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(output, "\n"), len(mechanism.All()))
	for _, info := range mechanism.All() {
		assert.Assert(t, strings.Contains(output, info.Name+" "), "%s", info.Name)
	}
}

func TestCommandLineErrorsHaveTheirExitStatus(t *testing.T) {
	t.Setenv(settings.EnvironmentVariable, "")
	cases := []struct {
		name      string
		arguments []string
		status    int
	}{
		{"unknown command", []string{"walk"}, exitUsageError},
		{"unknown flag", []string{"run", "--fast"}, exitUsageError},
		{"no settings file to run", []string{"run"}, exitFailure},
		{"no settings file to check", []string{"check"}, exitFailure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := execute(t, c.arguments...)
			assert.Equal(t, exitStatus(err), c.status)
		})
	}
}

func TestFlagsAreAcceptedWithOneDashAndWithTwo(t *testing.T) {
	t.Setenv(settings.EnvironmentVariable, "no-such-file")
	for _, flag := range []string{"-disable", "--disable"} {
		_, err := execute(t, "run", flag, "no-such-mechanism")
		var usage usageError
		assert.Assert(t, !errors.As(err, &usage))
		assert.ErrorContains(t, err, "no-such-mechanism")
	}
}
