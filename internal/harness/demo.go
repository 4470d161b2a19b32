package harness

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// The load and the servers of a demonstration.
const (
	demoServers  = 6
	demoCells    = 3
	demoMedianMs = 8
	demoSigma    = 0.4
	demoRate     = 60 // searches per second, on each front
)

// Demo runs two brokers for some seconds, one with the module and one with random choice, with the same servers and load. Meanwhile
// one server is slow by ten times, and another one does not answer for a while. It returns the violations.
func Demo(out io.Writer, seconds int) (violations []string, err error) {
	cluster, err := New(demoServers, demoCells, demoMedianMs, demoSigma)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	fmt.Fprintf(out, "%d servers on loopback, each shard on %d of them; two brokers, the same load on each by HTTP and gRPC\n", len(cluster.Servers), 4)
	var loads []*Load
	for _, policy := range []string{"", "random"} {
		b, err := cluster.StartBroker(policy, true)
		if err != nil {
			return nil, err
		}
		l, err := cluster.NewLoad(b)
		if err != nil {
			return nil, err
		}
		defer l.Close()
		loads = append(loads, l)
	}
	cluster.ObserveServers(loads...)
	runDemo(out, cluster, loads, seconds)
	violations = printDemo(out, loads)
	for _, l := range loads {
		if err := l.Broker.Stop(); err != nil {
			return violations, fmt.Errorf("a broker did not end well: %w", err)
		}
	}
	return violations, nil
}

// runDemo runs the loads, injects the faults, and prints a line per second.
func runDemo(out io.Writer, cluster *Cluster, loads []*Load, seconds int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(seconds)*time.Second)
	defer cancel()
	var running sync.WaitGroup
	for _, l := range loads {
		running.Go(func() { l.Run(ctx, demoRate, demoRate) })
	}
	at := func(share float64) int { return int(share * float64(seconds)) }
	state := "all is well"
	for second := range seconds {
		switch second {
		case at(0.25):
			cluster.Servers[1].SetSlowdown(10)
			state = "s1 is slow by ten times"
		case at(0.5):
			cluster.Servers[1].SetSlowdown(1)
			cluster.Servers[4].SetUnresponsive(true)
			state = "s1 is well again; s4 says nothing"
		case at(0.75):
			cluster.Servers[4].SetUnresponsive(false)
			state = "s4 is back"
		}
		fmt.Fprintf(out, "%3d s  %-36s answered %5d with the module, %5d with random choice\n", second, state, loads[0].answered(), loads[1].answered())
		time.Sleep(time.Second)
	}
	running.Wait()
}

// printDemo prints the counts and the decisions, and returns the violations.
func printDemo(out io.Writer, loads []*Load) (violations []string) {
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "broker\tfront\tanswered\tshed\terrored\tp50 ms\tp99 ms\t")
	for i, l := range loads {
		name := []string{"module", "random choice"}[i]
		for _, front := range []struct {
			name  string
			tally *Tally
		}{{"HTTP", l.HTTP}, {"gRPC", l.GRPC}} {
			t := front.tally
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t\n", name, front.name, t.Answered, t.Shed, t.Errored, t.QuantileMs(50), t.QuantileMs(99))
		}
		for _, violation := range l.Violations() {
			violations = append(violations, name+": "+violation)
		}
	}
	table.Flush()
	fmt.Fprintln(out, "\nwhat the module decided (its server numbers are those of the list):")
	printed := map[string]bool{}
	for _, decision := range loads[0].Broker.Decisions() {
		isEjection := strings.Contains(decision, "aside") || strings.Contains(decision, "back after")
		if isEjection && !printed[decision] {
			printed[decision] = true
			fmt.Fprintln(out, "  ", decision)
		}
	}
	return violations
}

// answered counts the answered searches on both fronts.
func (l *Load) answered() int { return l.HTTP.answered() + l.GRPC.answered() }

// answered counts the answered searches.
func (t *Tally) answered() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.Answered
}
