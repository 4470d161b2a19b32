package docscheck

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// command is a program or sub-command, as its help tells it.
type command struct {
	subs  map[string]*command
	flags map[string]bool
}

var (
	helpSection = regexp.MustCompile(`^(Available Commands|Subcommands).*:$`)
	helpCommand = regexp.MustCompile(`^\s+([a-z][a-z0-9-]*)\s{2,}\S`)
	helpFlag    = regexp.MustCompile(`^\s+(?:-\w, )?--?([a-z][a-z0-9-]*)\b`)
)

// programs builds the commands below cmd and asks each for its help, and its sub-commands'.
func programs(root, binaries string) (map[string]*command, error) {
	names, err := os.ReadDir(filepath.Join(root, "cmd"))
	if err != nil {
		return nil, err
	}
	build := exec.Command("go", "build", "-o", binaries+string(filepath.Separator), "./cmd/...")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("building the commands: %w: %s", err, out)
	}
	found := map[string]*command{}
	for _, name := range names {
		source, err := os.ReadFile(filepath.Join(root, "cmd", name.Name(), "main.go"))
		if err != nil {
			return nil, err
		}
		// Programs without a command line of their own don't answer to --help.
		if !strings.Contains(string(source), "cobra") && !strings.Contains(string(source), "subcommands") {
			found[name.Name()] = &command{}
			continue
		}
		found[name.Name()] = readHelp(filepath.Join(binaries, name.Name()), nil)
	}
	return found, nil
}

// readHelp runs a program with --help behind a sub-command. Help may come with any exit status, and on either stream.
func readHelp(program string, sub []string) *command {
	out, _ := exec.Command(program, append(append([]string{}, sub...), "--help")...).CombinedOutput()
	c := &command{subs: map[string]*command{}, flags: map[string]bool{"help": true}}
	inCommands := false
	for line := range strings.Lines(string(out)) {
		line = strings.TrimRight(line, "\n")
		switch {
		case helpSection.MatchString(line):
			inCommands = true
		case strings.TrimSpace(line) == "":
			inCommands = false
		case inCommands:
			if m := helpCommand.FindStringSubmatch(line); m != nil {
				c.subs[m[1]] = nil
			}
		default:
			if m := helpFlag.FindStringSubmatch(line); m != nil {
				c.flags[m[1]] = true
			}
		}
	}
	for name := range c.subs {
		if name == "help" || name == "completion" {
			c.subs[name] = &command{}
			continue
		}
		c.subs[name] = readHelp(program, append(append([]string{}, sub...), name))
	}
	return c
}

// everyFlag adds the flags of a command and of all below it.
func (c *command) everyFlag(into map[string]bool) {
	for name := range c.flags {
		into[name] = true
	}
	for _, sub := range c.subs {
		sub.everyFlag(into)
	}
}
