package scenario

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Report is the result of a run, as clients and servers counted it.
type Report struct {
	Name               string         `json:"name"`
	Description        string         `json:"says"`
	Policy             string         `json:"policy"`
	Seconds            []Second       `json:"seconds"`
	Types              []TypeReport   `json:"types"`
	Servers            []ServerReport `json:"servers"`
	Violations         []string       `json:"broken,omitempty"`
	SiteReports        []SiteReport   `json:"sights,omitempty"`
	DetectionMs        float64        `json:"detect_ms"` // until half of the brokers elsewhere reported the first loss of a site; -1: never
	FalseAlarms        int            `json:"false_alarms"`
	MaxWarmUpLoad      float64        `json:"worst_cold"` // of a server in slow start: received requests per capacity
	Phases             []Phase        `json:"phases"`
	FailedExpectations []string       `json:"missed,omitempty"` // of the file
	GossipBytes        int64          `json:"said_bytes"`       // between brokers
	Leases             *LeaseReport   `json:"owners,omitempty"`
	Logs               []string       `json:"-"` // by broker
}

// Second is the value served in one second, its upper bound, and the outcomes of the queries that started in it.
type Second struct {
	Value         float64 `json:"value"`
	Bound         float64 `json:"bound"`
	Tally         []Tally `json:"by_type"`
	MaxServerLoad float64 `json:"busiest"` // of any server: received requests per capacity
}

// TypeReport is the outcomes of one query type.
type TypeReport struct {
	Name string `json:"name"`
	Tally
	P50Ms float64 `json:"P50"` // latency of answered queries
	P99Ms float64 `json:"P99"`
}

// ServerReport is what one server received.
type ServerReport struct {
	Name     string  `json:"Name"`
	Site     string  `json:"Site"`
	Received int     `json:"Came"`   // requests received
	Rejected int     `json:"Turned"` // of which the server rejected
	MaxLoad  float64 `json:"Worst"`  // busiest second: received requests per capacity
}

// SiteReport is a log line of a broker about a site. It explains results.
type SiteReport struct {
	Broker  string  `json:"broker"`
	AtMs    float64 `json:"at_ms"`
	Site    int     `json:"site"`
	Text    string  `json:"text"`
	Lost    bool    `json:"lost"`
	OwnSite bool    `json:"own_site"`
}

// Phase is a part of the run, with its upper bound.
type Phase struct {
	Name         string    `json:"name"`
	StartS, EndS float64   `json:"-"`
	Value        float64   `json:"value"`
	Bound        float64   `json:"bound"`
	ServedShares []float64 `json:"served"` // in time per offered, by type
	TopTypeShare float64   `json:"top"`    // of the most valued type: served in time per servable
}

// Print writes the report as tables.
func (r *Report) Print(out io.Writer) {
	policy := r.Policy
	if policy == "" {
		policy = "the module"
	}
	fmt.Fprintf(out, "%s, by %s: %s\n\n", r.Name, policy, r.Description)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "type\toffered\tin time\tlate\tin part\tshed\terrored\tno broker\t")
	for _, k := range r.Types {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", k.Name, k.Offered, k.InTime, k.Late, k.Incomplete, k.Shed, k.Errored, k.NoBroker)
	}
	t.Flush()
	fmt.Fprintln(out)
	t = tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "phase\tfrom s\tto s\tvalue\tof the bound\ttop type\t")
	for _, k := range r.Types {
		fmt.Fprintf(t, "%s in time\t", k.Name)
	}
	fmt.Fprintln(t)
	for _, p := range r.Phases {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t", p.Name, p.StartS, p.EndS, p.Value, p.Value/math.Max(p.Bound, 1e-9), p.TopTypeShare)
		for _, v := range p.ServedShares {
			fmt.Fprintf(t, "%.3f\t", v)
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	worst := 0.0
	for _, s := range r.Servers {
		worst = max(worst, s.MaxLoad)
	}
	fmt.Fprintf(out, "\nbusiest second of a server: %.2f of what it bears; cold servers: at most %.2f of what they bear; ", worst, r.MaxWarmUpLoad)
	fmt.Fprintf(out, "lost after %.0f ms (half of the brokers), %d false alarms\n", r.DetectionMs, r.FalseAlarms)
	if o := r.Leases; o != nil {
		fmt.Fprintf(out, "owners: %d effects counted, %d take-overs (gap p50 %.0f ms, p99 %.0f ms), %d effects of old owners refused, %d repeated; %d came after a newer owner's\n",
			o.Counted, o.Takeovers, quantile(o.GapsMs, 0.5), quantile(o.GapsMs, 0.99), o.Refused, o.Duplicates, o.StaleEffects)
	}
	for _, k := range r.Types {
		fmt.Fprintf(out, "%s: p50 %.0f ms, p99 %.0f ms of what was answered\n", k.Name, k.P50Ms, k.P99Ms)
	}
	for i, b := range r.Violations {
		if i == 10 {
			fmt.Fprintf(out, "and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(out, "BROKEN:", b)
	}
	for _, m := range r.FailedExpectations {
		fmt.Fprintln(out, "missed:", m)
	}
}

// quantile is a quantile of a sorted list; 0 for an empty one.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[min(int(q*float64(len(list))), len(list)-1)]
}
