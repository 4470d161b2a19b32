package fleet

import (
	"context"
	"fmt"
	"io"
	"time"
)

// DemoOptions are how a demonstration is played.
type DemoOptions struct {
	Binary  string        // path of kestrelnode
	Dir     string        // keeps settings, disks and logs; empty: a temporary folder
	Seconds int           // of load, shared by the phases
	Pause   time.Duration // that a client makes between two requests, on average; default 200 ms
}

// longestStep is how long a step of a demonstration may take.
const longestStep = 20 * time.Second

const defaultPause = 200 * time.Millisecond

// demo is a run of a demonstration.
type demo struct {
	*Fleet
	out      io.Writer
	load     *Load
	breaches []Breach
}

// phase is a part of a demonstration. Its step returns what it has seen.
type phase struct {
	name string
	step func(context.Context) (string, error)
}

// Demo plays a fleet through changes and troubles and writes what came of the clients' requests. The breaches it returns
// are broken rules, and steps that did not come to pass; none: all is well.
func Demo(ctx context.Context, out io.Writer, options DemoOptions) ([]Breach, error) {
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
		if err := d.play(ctx, i, p, share); err != nil {
			return nil, err
		}
	}
	return d.finish(ctx, phases)
}

// begin waits until the fleet serves, and starts the load.
func (d *demo) begin(ctx context.Context, started time.Time, options DemoOptions) error {
	fmt.Fprintf(d.out, "%d nodes in %d zones on %s.0/24, %d of them with a disk; %d model brokers, %d plain brokers, a store\n",
		nodeCount, len(Zones), d.layout.network, diskCount, modelBrokers, plainBrokers)
	ctx, cancel := context.WithTimeout(ctx, longestStep)
	defer cancel()
	if err := d.FirstSteps(ctx); err != nil {
		return err
	}
	pause := options.Pause
	if pause <= 0 {
		pause = defaultPause
	}
	d.load = d.StartLoad(pause)
	d.say("all nodes serve the first configuration %v after their start", since(started))
	return nil
}

func (d *demo) say(form string, arguments ...any) { fmt.Fprintf(d.out, "  "+form+"\n", arguments...) }

func since(start time.Time) time.Duration { return time.Since(start).Round(time.Millisecond) }

// play carries a phase out, which lasts its share of the time or until its step is done. An error: the run was ended.
func (d *demo) play(ctx context.Context, number int, p phase, share time.Duration) error {
	d.load.Book.SetPhase(number)
	fmt.Fprintf(d.out, "%s\n", p.name)
	over := time.NewTimer(share)
	defer over.Stop()
	if p.step != nil {
		stepContext, cancel := context.WithTimeout(ctx, longestStep)
		seen, err := p.step(stepContext)
		cancel()
		if err != nil {
			d.breaches = append(d.breaches, Breach{Rule: "STEP", Text: p.name + ": " + err.Error()})
			seen = "did not come to pass"
		}
		d.say("%s", seen)
	}
	select {
	case <-over.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *demo) phases() []phase {
	return []phase{
		{"calm", nil},
		{"configuration changed", d.changeConfiguration},
		{"new weights named", d.nameWeights},
		{"head of the core killed", d.killHead},
		{"broker drained", d.drainBroker},
		{"node stopped", d.stopNode},
	}
}

// finish stops the load, and tells what came of it.
func (d *demo) finish(ctx context.Context, phases []phase) ([]Breach, error) {
	d.load.Stop()
	ctx, cancel := context.WithTimeout(ctx, longestStep)
	defer cancel()
	if err := d.Operator.CheckReadBack(ctx); err != nil {
		d.breaches = append(d.breaches, Breach{Rule: "CONFIG", Text: err.Error()})
	} else {
		fmt.Fprintf(d.out, "configuration %d is read back as it was acknowledged\n", d.Operator.Current().Version)
	}
	d.breaches = append(d.breaches, d.Check(d.load)...)
	var names []string
	for _, p := range phases {
		names = append(names, p.name)
	}
	counts := d.Count(d.load, len(phases))
	fmt.Fprintln(d.out)
	if err := counts.Print(d.out, names); err != nil {
		return d.breaches, err
	}
	fmt.Fprintln(d.out, "\ncut: its node was killed; unread: its connection ended before the node had read it;\n"+
		"doubled, lost: what must not be: ran more than once against its kind, or no final answer though it was taken")
	return d.breaches, nil
}
