package processfaults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// ErrViolation says that a run violated what is promised.
var ErrViolation = errors.New("processfaults: broken")

// CampaignOptions say which seeds are run.
type CampaignOptions struct {
	Binary      string // path of kestrelnode
	First, Last uint64 // seeds, both included
	Jobs        int    // concurrent runs
}

// campaign accumulates the results of runs.
type campaign struct {
	options CampaignOptions
	out     io.Writer

	mutex       sync.Mutex
	nextSeed    uint64
	played      int
	broken      int
	failed      error // the first run that could not be made
	changes     int
	reads       int
	probes      int
	requests    int
	maxRecovery time.Duration
	slowestSeed uint64
}

// Campaign runs the plans of seeds, and prints each plan with a violation, and a summary. The error is ErrViolation if there is
// one, or says why a run could not be made.
func Campaign(ctx context.Context, out io.Writer, options CampaignOptions) error {
	c := &campaign{options: options, out: out, nextSeed: options.First}
	var running sync.WaitGroup
	for range max(options.Jobs, 1) {
		running.Go(func() { c.work(ctx) })
	}
	running.Wait()
	fmt.Fprintf(out, "%d runs, %d broken; %d changes acknowledged, %d reads, %d requests, %d with revoked keys; slowest recovery %v (seed %d)\n",
		c.played, c.broken, c.changes, c.reads, c.requests, c.probes, c.maxRecovery.Round(time.Millisecond), c.slowestSeed)
	switch {
	case c.broken > 0:
		return fmt.Errorf("%w: %d of %d runs", ErrViolation, c.broken, c.played)
	case c.failed != nil:
		return c.failed
	default:
		return ctx.Err()
	}
}

// work plays seeds until there are none left.
func (c *campaign) work(ctx context.Context) {
	for {
		seed, ok := c.takeSeed(ctx)
		if !ok {
			return
		}
		var trace strings.Builder
		result, err := Play(ctx, PlanOf(seed), Options{Binary: c.options.Binary, Trace: &trace})
		c.record(seed, result, err, trace.String())
	}
}

// takeSeed returns the next seed; false: there is none, or the campaign is to end.
func (c *campaign) takeSeed(ctx context.Context) (seed uint64, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if ctx.Err() != nil || c.failed != nil || c.nextSeed > c.options.Last {
		return 0, false
	}
	c.nextSeed++
	return c.nextSeed - 1, true
}

// record adds the result of a run, and prints what it violated.
func (c *campaign) record(seed uint64, result *Result, err error, trace string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.failed = errors.Join(c.failed, fmt.Errorf("seed %d: %w", seed, err))
		return
	}
	c.played++
	c.changes += result.Changes
	c.reads += result.Reads
	c.probes += result.Probes
	c.requests += result.Tally.Sent
	if result.Recovery > c.maxRecovery {
		c.maxRecovery, c.slowestSeed = result.Recovery, seed
	}
	if len(result.Violations) > 0 {
		c.broken++
		printViolations(c.out, result, trace)
	}
}

// printViolations prints what a run violated, its trace, and its plan for Replay.
func printViolations(out io.Writer, result *Result, trace string) {
	fmt.Fprintf(out, "seed %d:\n", result.Plan.Seed)
	for _, violation := range result.Violations {
		fmt.Fprintf(out, "  %s\n", violation)
	}
	fmt.Fprint(out, trace)
	text, err := json.Marshal(result.Plan)
	if err != nil {
		panic(err) // numbers and strings can't fail
	}
	fmt.Fprintf(out, "%s\n", text)
}

// Replay plays a plan that was printed, with its trace. The error is ErrPlan if it can't be read, ErrViolation if it violates something.
func Replay(ctx context.Context, out io.Writer, binary string, text []byte) error {
	plan := new(Plan)
	if err := json.Unmarshal(text, plan); err != nil {
		return fmt.Errorf("%w: %w", ErrPlan, err)
	}
	if err := plan.Validate(); err != nil {
		return err
	}
	result, err := Play(ctx, plan, Options{Binary: binary, Trace: out})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d changes acknowledged, %d reads, %d requests, %d with revoked keys; recovery %v\n",
		result.Changes, result.Reads, result.Tally.Sent, result.Probes, result.Recovery.Round(time.Millisecond))
	if len(result.Violations) > 0 {
		return fmt.Errorf("%w: %s", ErrViolation, strings.Join(result.Violations, "; "))
	}
	return nil
}
