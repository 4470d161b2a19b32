package faultrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("faultrun")
	// ErrBroken says that a run broke what is promised.
	ErrBroken = namespace.NewType("broken")
	// ErrPlan says that a plan can't be read.
	ErrPlan = namespace.NewType("plan")
)

// CampaignOptions say which seeds are played.
type CampaignOptions struct {
	First, Last uint64
	Jobs        int // runs at a time
	ShrinkPlays int // how many plays a failing plan may take to be cut down
}

const (
	progressEvery = 10 * time.Second
	traceLines    = 60
)

// campaign is what the runs of a campaign have shown so far.
type campaign struct {
	mutex   sync.Mutex
	out     io.Writer
	next    uint64
	played  int
	unclear int
	changes int
	longest time.Duration
	broken  []*Result
	toldAt  time.Time
}

// Campaign plays seeds, tells how far it has come, and cuts down and prints each plan that breaks something. The error is
// ErrBroken where one did.
func Campaign(ctx context.Context, out io.Writer, options CampaignOptions) error {
	c := &campaign{out: out, next: options.First, toldAt: time.Now()}
	var running sync.WaitGroup
	for range max(options.Jobs, 1) {
		running.Go(func() {
			for seed, ok := c.take(options.Last); ok && ctx.Err() == nil; seed, ok = c.take(options.Last) {
				c.note(Play(PlanOf(seed), false))
			}
		})
	}
	running.Wait()
	fmt.Fprintf(out, "%d runs, %d changes acknowledged, longest wait for an answer %v, %d histories too long, %d broken\n",
		c.played, c.changes, c.longest.Round(time.Millisecond), c.unclear, len(c.broken))
	for _, r := range c.broken {
		if err := explain(out, r.Plan, options.ShrinkPlays); err != nil {
			return err
		}
	}
	if len(c.broken) > 0 {
		return ErrBroken.New("%d of %d runs", len(c.broken), c.played)
	}
	return ctx.Err()
}

// take hands out the next seed.
func (c *campaign) take(last uint64) (seed uint64, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next > last {
		return 0, false
	}
	c.next++
	return c.next - 1, true
}

func (c *campaign) note(r *Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.played++
	c.changes += r.Changes
	c.longest = max(c.longest, r.Longest)
	if r.Unclear {
		c.unclear++
	}
	if r.Breach != "" {
		c.broken = append(c.broken, r)
		fmt.Fprintf(c.out, "seed %d: %s\n", r.Plan.Seed, r.Breach)
	}
	if time.Since(c.toldAt) >= progressEvery {
		c.toldAt = time.Now()
		fmt.Fprintf(c.out, "%d runs played, %d broken\n", c.played, len(c.broken))
	}
}

// explain cuts a plan down and prints it, with the last of what happened.
func explain(out io.Writer, plan *Plan, plays int) error {
	smaller := Shrink(plan, plays)
	text, err := json.Marshal(smaller)
	if err != nil {
		return ErrPlan.Wrap(err, "seed %d", plan.Seed)
	}
	r := Play(smaller, true)
	fmt.Fprintf(out, "\nseed %d, cut down from %d troubles to %d: %s\n", plan.Seed, len(plan.Troubles), len(smaller.Troubles), r.Breach)
	for _, line := range r.Trace[max(0, len(r.Trace)-traceLines):] {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintf(out, "%s\n", text)
	return nil
}

// Replay plays a plan that was printed, and prints what happened. The error is ErrBroken where it breaks something.
func Replay(out io.Writer, text []byte) error {
	plan := new(Plan)
	if err := json.Unmarshal(text, plan); err != nil {
		return ErrPlan.Wrap(err, "not a plan")
	}
	r := Play(plan, true)
	for _, line := range r.Trace {
		fmt.Fprintln(out, line)
	}
	if r.Breach != "" {
		return ErrBroken.New("%s", r.Breach)
	}
	return nil
}
