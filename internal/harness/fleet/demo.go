package fleet

import (
	"context"
	"fmt"
	"io"
	"time"
)

// DemoOptions are the options of a demonstration.
type DemoOptions struct {
	Binary   string        // path of kestrelnode
	Dir      string        // retains settings, disks and logs; empty: a temporary directory
	Seconds  int           // duration of the load, shared by the phases
	Interval time.Duration // mean time between two requests of a client; default 200 ms
}

// maxStepDuration bounds a step of a demonstration.
const maxStepDuration = 20 * time.Second

// defaultInterval is the default of DemoOptions.Interval.
const defaultInterval = 200 * time.Millisecond

// demo is a run of a demonstration.
type demo struct {
	*Fleet
	out        io.Writer
	load       *Load
	violations []Violation
}

// phase is a part of a demonstration. Its step returns the line to print.
type phase struct {
	name string
	step func(context.Context) (string, error)
}

// Demo runs a fleet through changes and faults, and prints the outcome of the clients' requests. It returns the violated rules, and
// the steps that failed, as violations.
func Demo(ctx context.Context, out io.Writer, options DemoOptions) ([]Violation, error) {
	started := time.Now()
	fleet, err := Start(Options{Binary: options.Binary, Dir: options.Dir, Bounds: DefaultBounds()})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	d := &demo{Fleet: fleet, out: out}
	if err := d.begin(ctx, started, options); err != nil {
		return nil, err
	}
	phases := d.phases()
	share := time.Duration(options.Seconds) * time.Second / time.Duration(len(phases))
	for i, p := range phases {
		if err := d.runPhase(ctx, i, p, share); err != nil {
			return nil, err
		}
	}
	return d.finish(ctx, phases)
}

// begin waits until the fleet serves, and starts the load.
func (d *demo) begin(ctx context.Context, started time.Time, options DemoOptions) error {
	fmt.Fprintf(d.out, "%d nodes in %d zones on %s.0/24, %d of them with a disk; %d model brokers, %d plain brokers, a store\n",
		nodeCount, len(Zones), d.layout.network, diskCount, modelBrokers, plainBrokers)
	ctx, cancel := context.WithTimeout(ctx, maxStepDuration)
	defer cancel()
	if err := d.Bootstrap(ctx); err != nil {
		return err
	}
	interval := options.Interval
	if interval <= 0 {
		interval = defaultInterval
	}
	d.load = d.StartLoad(interval)
	d.printf("all nodes serve the first configuration %v after their start", since(started))
	return nil
}

// printf prints an indented line.
func (d *demo) printf(form string, arguments ...any) {
	fmt.Fprintf(d.out, "  "+form+"\n", arguments...)
}

// since is the time since start, in milliseconds.
func since(start time.Time) time.Duration { return time.Since(start).Round(time.Millisecond) }

// runPhase runs a phase for its share of the time, or until its step is done. An error: the run was cancelled.
func (d *demo) runPhase(ctx context.Context, number int, p phase, share time.Duration) error {
	d.load.Attempts.SetPhase(number)
	fmt.Fprintf(d.out, "%s\n", p.name)
	timer := time.NewTimer(share)
	defer timer.Stop()
	if p.step != nil {
		stepContext, cancel := context.WithTimeout(ctx, maxStepDuration)
		summary, err := p.step(stepContext)
		cancel()
		if err != nil {
			d.violations = append(d.violations, Violation{Rule: "STEP", Text: p.name + ": " + err.Error()})
			summary = "did not come to pass"
		}
		d.printf("%s", summary)
	}
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// phases are the phases in their order.
func (d *demo) phases() []phase {
	return []phase{
		{"calm", nil},
		{"configuration changed", d.changeConfiguration},
		{"new weights named", d.updateWeights},
		{"head of the core killed", d.killHead},
		{"broker drained", d.drainBroker},
		{"node stopped", d.stopNode},
	}
}

// finish stops the load, checks the rules, and prints the counts.
func (d *demo) finish(ctx context.Context, phases []phase) ([]Violation, error) {
	d.load.Stop()
	ctx, cancel := context.WithTimeout(ctx, maxStepDuration)
	defer cancel()
	if err := d.Operator.CheckReadBack(ctx); err != nil {
		d.violations = append(d.violations, Violation{Rule: "CONFIG", Text: err.Error()})
	} else {
		fmt.Fprintf(d.out, "configuration %d is read back as it was acknowledged\n", d.Operator.Current().Version)
	}
	d.violations = append(d.violations, d.Check(d.load)...)
	var names []string
	for _, p := range phases {
		names = append(names, p.name)
	}
	counts := d.Count(d.load, len(phases))
	fmt.Fprintln(d.out)
	if err := counts.Print(d.out, names); err != nil {
		return d.violations, err
	}
	fmt.Fprintln(d.out, "\ncut: its node was killed; unread: its connection ended before the node had read it;\n"+
		"doubled, lost: what must not be: ran more than once against its kind, or no final answer though it was taken")
	return d.violations, nil
}
