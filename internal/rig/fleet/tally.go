package fleet

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Tally counts tries of clients.
type Tally struct {
	Sent     int
	Answered int
	Late     int // of those answered
	Refused  int // not run, to be sent again
	Failed   int // 5xx beside 503, and 4xx
	Cut      int // the node that had it was killed or frozen
	Unread   int // the connection ended before the node had read it
	Doubled  int // ran more than once, though it must not
	Lost     int // read, and no final answer
}

func (t *Tally) add(e *evidence, r *Record) {
	t.Sent++
	if e.doubled(r) {
		t.Doubled++
	}
	switch r.Outcome {
	case Answered:
		t.Answered++
		if r.Late {
			t.Late++
		}
	case Refused:
		t.Refused++
	case Denied, Failed:
		t.Failed++
	case Unsent:
		t.Unread++
	case Closed:
		switch {
		case e.lost(r):
			t.Lost++
		case e.wasRead(r):
			t.Cut++
		default:
			t.Unread++
		}
	}
}

// Counts are the tallies of a run, by phase and by kind.
type Counts struct {
	Phases []Tally
	Kinds  [kindCount]Tally
}

// Count tallies the tries of a load over so many phases.
func (f *Fleet) Count(load *Load, phases int) Counts {
	e := f.evidence(load)
	counts := Counts{Phases: make([]Tally, phases)}
	for i := range e.records {
		r := &e.records[i]
		if r.Phase < 0 || r.Phase >= phases {
			continue
		}
		counts.Phases[r.Phase].add(e, r)
		counts.Kinds[r.Kind].add(e, r)
	}
	return counts
}

// Print writes two tables.
func (c *Counts) Print(out io.Writer, phases []string) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	line := func(name string, t Tally) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			name, t.Sent, t.Answered, t.Late, t.Refused, t.Failed, t.Cut, t.Unread, t.Doubled, t.Lost)
	}
	head := "sent\tanswered\tlate\trefused\tfailed\tcut\tunread\tdoubled\tlost\t"
	fmt.Fprintln(table, "phase\t"+head)
	for i, name := range phases {
		line(name, c.Phases[i])
	}
	fmt.Fprintln(table, "\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(table, "kind\t"+head)
	for kind, t := range c.Kinds {
		line(Kind(kind).String(), t)
	}
	return table.Flush()
}

// Total sums the phases up.
func (c *Counts) Total() Tally {
	var sum Tally
	for _, t := range c.Phases {
		sum.Sent += t.Sent
		sum.Answered += t.Answered
		sum.Late += t.Late
		sum.Refused += t.Refused
		sum.Failed += t.Failed
		sum.Cut += t.Cut
		sum.Unread += t.Unread
		sum.Doubled += t.Doubled
		sum.Lost += t.Lost
	}
	return sum
}
