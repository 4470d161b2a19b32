package faultrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Errors of this package.
var (
	// ErrViolation says that a run violated what is promised.
	ErrViolation = errors.New("faultrun: broken")
	// ErrPlan says that a plan can't be decoded or encoded.
	ErrPlan = errors.New("faultrun: plan")
)

// CampaignOptions say which seeds are run.
type CampaignOptions struct {
	First, Last uint64 // seeds, both included
	Jobs        int    // concurrent runs
	ShrinkPlays int    // bound on the runs that reduce one plan
}

const (
	progressInterval = 10 * time.Second
	maxTraceLines    = 60
)

// campaign accumulates the results of the runs.
type campaign struct {
	mutex              sync.Mutex
	out                io.Writer
	nextSeed           uint64
	playedRuns         int
	uncheckedHistories int
	ackedChanges       int
	maxOrderWait       time.Duration
	maxOrderWaitSeed   uint64 // the run that it was in
	violations         []*Result
	progressReportedAt time.Time
}

// Campaign runs the plans of seeds, prints its progress, and reduces and prints each plan with a violation. The error is
// ErrViolation if there is one.
func Campaign(ctx context.Context, out io.Writer, options CampaignOptions) error {
	c := &campaign{out: out, nextSeed: options.First, progressReportedAt: time.Now()}
	var running sync.WaitGroup
	for range max(options.Jobs, 1) {
		running.Go(func() {
			for seed, ok := c.takeSeed(options.Last); ok && ctx.Err() == nil; seed, ok = c.takeSeed(options.Last) {
				c.record(Play(PlanOf(seed), false))
			}
		})
	}
	running.Wait()
	fmt.Fprintf(out, "%d runs, %d changes acknowledged, longest wait for an answer %v (seed %d), %d histories too long, %d broken\n",
		c.playedRuns, c.ackedChanges, c.maxOrderWait.Round(time.Millisecond), c.maxOrderWaitSeed, c.uncheckedHistories, len(c.violations))
	for _, r := range c.violations {
		if err := reportViolation(out, r.Plan, options.ShrinkPlays); err != nil {
			return err
		}
	}
	if len(c.violations) > 0 {
		return fmt.Errorf("%w: %d of %d runs", ErrViolation, len(c.violations), c.playedRuns)
	}
	return ctx.Err()
}

// takeSeed returns the next seed to run.
func (c *campaign) takeSeed(last uint64) (seed uint64, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.nextSeed > last {
		return 0, false
	}
	c.nextSeed++
	return c.nextSeed - 1, true
}

// record adds the result of a run, and prints a violation and, now and then, the progress.
func (c *campaign) record(r *Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.playedRuns++
	c.ackedChanges += r.AckedChanges
	if r.MaxOrderWait > c.maxOrderWait {
		c.maxOrderWait, c.maxOrderWaitSeed = r.MaxOrderWait, r.Plan.Seed
	}
	if r.HistoryUnchecked {
		c.uncheckedHistories++
	}
	if r.Violation != "" {
		c.violations = append(c.violations, r)
		fmt.Fprintf(c.out, "seed %d: %s\n", r.Plan.Seed, r.Violation)
	}
	if time.Since(c.progressReportedAt) >= progressInterval {
		c.progressReportedAt = time.Now()
		fmt.Fprintf(c.out, "%d runs played, %d broken\n", c.playedRuns, len(c.violations))
	}
}

// reportViolation reduces a plan and prints it, with the end of its trace.
func reportViolation(out io.Writer, plan *Plan, maxPlays int) error {
	reduced := Shrink(plan, maxPlays)
	text, err := json.Marshal(reduced)
	if err != nil {
		return fmt.Errorf("%w: seed %d: %w", ErrPlan, plan.Seed, err)
	}
	r := Play(reduced, true)
	fmt.Fprintf(out, "\nseed %d, cut down from %d troubles to %d: %s\n", plan.Seed, len(plan.Faults), len(reduced.Faults), r.Violation)
	for _, line := range r.Trace[max(0, len(r.Trace)-maxTraceLines):] {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintf(out, "%s\n", text)
	return nil
}

// Replay runs a plan that was printed, and prints its trace. The error is ErrViolation if it violates something.
func Replay(out io.Writer, text []byte) error {
	plan := new(Plan)
	if err := json.Unmarshal(text, plan); err != nil {
		return fmt.Errorf("%w: not a plan: %w", ErrPlan, err)
	}
	r := Play(plan, true)
	for _, line := range r.Trace {
		fmt.Fprintln(out, line)
	}
	if r.Violation != "" {
		return fmt.Errorf("%w: %s", ErrViolation, r.Violation)
	}
	return nil
}
