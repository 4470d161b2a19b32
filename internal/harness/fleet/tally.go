package fleet

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Tally counts attempts of clients.
type Tally struct {
	Sent        int
	Answered    int
	Late        int // of the answered ones
	Rejected    int // did not run, to be retried
	Failed      int // 5xx but 503, and 4xx
	Interrupted int // its node was killed or frozen
	NotRead     int // the connection ended before the node had read the request
	Duplicated  int // ran more than once, but must not
	Lost        int // read by the node, but got no final answer
	Left        int // the client closed its connection
}

// add counts an attempt.
func (t *Tally) add(e *evidence, r *Attempt) {
	t.Sent++
	if e.duplicated(r) {
		t.Duplicated++
	}
	switch r.Outcome {
	case Answered:
		t.Answered++
		if r.Late {
			t.Late++
		}
	case Rejected:
		t.Rejected++
	case ClientError, ServerError:
		t.Failed++
	case Unsent:
		t.NotRead++
	case Left:
		t.Left++
	case ConnectionClosed:
		switch {
		case e.lost(r):
			t.Lost++
		case e.wasRead(r):
			t.Interrupted++
		default:
			t.NotRead++
		}
	}
}

// Counts are the tallies of a run, by phase and by kind.
type Counts struct {
	Phases []Tally
	Kinds  [requestKinds]Tally
}

// Count tallies the attempts of a load in a number of phases.
func (f *Fleet) Count(load *Load, phases int) Counts {
	e := f.evidence(load)
	counts := Counts{Phases: make([]Tally, phases)}
	for i := range e.attempts {
		r := &e.attempts[i]
		if r.Phase < 0 || r.Phase >= phases {
			continue
		}
		counts.Phases[r.Phase].add(e, r)
		counts.Kinds[r.Kind].add(e, r)
	}
	return counts
}

// Print writes two tables: by phase and by kind.
func (c *Counts) Print(out io.Writer, phases []string) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	line := func(name string, t Tally) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			name, t.Sent, t.Answered, t.Late, t.Rejected, t.Failed, t.Interrupted, t.NotRead, t.Duplicated, t.Lost)
	}
	head := "sent\tanswered\tlate\trefused\tfailed\tcut\tunread\tdoubled\tlost\t"
	fmt.Fprintln(table, "phase\t"+head)
	for i, name := range phases {
		line(name, c.Phases[i])
	}
	fmt.Fprintln(table, "\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(table, "kind\t"+head)
	for kind, t := range c.Kinds {
		line(RequestKind(kind).String(), t)
	}
	return table.Flush()
}

// Total is the sum over the phases.
func (c *Counts) Total() Tally {
	var sum Tally
	for _, t := range c.Phases {
		sum.Sent += t.Sent
		sum.Answered += t.Answered
		sum.Late += t.Late
		sum.Rejected += t.Rejected
		sum.Failed += t.Failed
		sum.Interrupted += t.Interrupted
		sum.NotRead += t.NotRead
		sum.Duplicated += t.Duplicated
		sum.Lost += t.Lost
		sum.Left += t.Left
	}
	return sum
}
