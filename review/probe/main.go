// Command probe plays the scripted cases of the second review: it starts kestrelnode processes on loopback with stand-ins around
// them, injects the trouble of one case, records what was sent, answered and run, and judges one rule of RULES.md.
//
//	probe CASE --node PROGRAM --record FILE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment the
// trouble is left out.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// caseFunc plays one case. It returns the breaches of the rule that it saw.
type caseFunc func(ctx context.Context, env *environment) (breaches []string, err error)

// cases are the cases by name.
var cases = map[string]caseFunc{
	"alone":       alone,
	"last-tenant": lastTenant,
	"wall":        wall,
}

// environment is what a case is given.
type environment struct {
	node    string // path of kestrelnode
	trouble bool
	record  *record
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: probe CASE --node PROGRAM --record FILE")
		return exitNotRun
	}
	flags := flag.NewFlagSet("probe", flag.ContinueOnError)
	node := flags.String("node", "target/kestrelnode", "path of kestrelnode")
	file := flags.String("record", "record.txt", "file for the record")
	if err := flags.Parse(os.Args[2:]); err != nil {
		return exitNotRun
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "probe: no case %q\n", os.Args[1])
		return exitNotRun
	}
	written, err := createRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "probe:", err)
		return exitNotRun
	}
	defer written.close()
	env := &environment{node: *node, trouble: os.Getenv("TROUBLE") != "0", record: written}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	written.note("case %s, trouble %v", os.Args[1], env.trouble)
	breaches, err := play(ctx, env)
	return verdict(written, breaches, err)
}

// verdict records the result of a case and returns its exit code.
func verdict(written *record, breaches []string, err error) int {
	const maxListed = 20
	for i, breach := range breaches {
		if i == maxListed {
			break
		}
		written.note("BROKEN: %s", breach)
	}
	switch {
	case len(breaches) > 0:
		written.note("the rule was broken, %d times", len(breaches))
		return exitBroken
	case err != nil && !errors.Is(err, context.Canceled):
		written.note("the case couldn't run: %v", err)
		return exitNotRun
	default:
		written.note("the rule held")
		return exitHeld
	}
}
