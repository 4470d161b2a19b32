package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report is what a run brought, as clients and servers counted it.
type Report struct {
	Name               string         `json:"name"`
	Description        string         `json:"says"`
	Policy             string         `json:"policy"`
	Seconds            []Second       `json:"seconds"`
	Types              []TypeReport   `json:"types"`
	Servers            []ServerReport `json:"servers"`
	Violations         []string       `json:"broken,omitempty"`
	SiteReports        []SiteReport   `json:"sights,omitempty"`
	DetectionMs        float64        `json:"detect_ms"` // until half of the brokers that could hear held the first lost site to be lost; -1: never
	FalseAlarms        int            `json:"false_alarms"`
	MaxWarmUpLoad      float64        `json:"worst_cold"` // what a cold server was sent, against what it bears
	Phases             []Phase        `json:"phases"`
	FailedExpectations []string       `json:"missed,omitempty"` // of what the file expects
	GossipBytes        int64          `json:"said_bytes"`       // among brokers
	Leases             *LeaseReport   `json:"owners,omitempty"`
	Logs               []string       `json:"-"` // by broker
}

// Second is the value served in one second, against the bound, and what became of the searches.
type Second struct {
	Value         float64 `json:"value"`
	Bound         float64 `json:"bound"`
	Tally         []Tally `json:"by_type"`
	MaxServerLoad float64 `json:"busiest"` // server: answered against what it bears
}

// TypeReport is one query type's whole run.
type TypeReport struct {
	Name string `json:"name"`
	Tally
	P50Ms float64 `json:"P50"` // of answered searches
	P99Ms float64 `json:"P99"`
}

// ServerReport is what one server was sent.
type ServerReport struct {
	Name     string  `json:"Name"`
	Site     string  `json:"Site"`
	Received int     `json:"Came"`   // requests received
	Rejected int     `json:"Turned"` // of which the server rejected
	MaxLoad  float64 `json:"Worst"`  // busiest second: received requests per capacity
}

// SiteReport is what a broker said of a site. It explains; it is no result.
type SiteReport struct {
	Broker  string  `json:"broker"`
	AtMs    float64 `json:"at_ms"`
	Site    int     `json:"site"`
	Text    string  `json:"text"`
	Lost    bool    `json:"lost"`
	OwnSite bool    `json:"own_site"`
}

// Phase is a stretch of the run, against the bound of the same stretch.
type Phase struct {
	Name         string    `json:"name"`
	StartS, EndS float64   `json:"-"`
	Value        float64   `json:"value"`
	Bound        float64   `json:"bound"`
	ServedShares []float64 `json:"served"` // in time, of what was offered, by type
	TopTypeShare float64   `json:"top"`    // the most valued type's share served in time, against the bound's
}

func (run *runner) printProgress() {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	at := int(run.now()/1000) - 1
	line := ""
	for i, t := range run.Types {
		s := run.counts.sum(i, at-1, at)
		line += fmt.Sprintf("  %s %d of %d in time, %d shed", t.Name, s.InTime, s.Offered, s.Shed+s.NoBroker)
	}
	run.options.Printf("%8.3f s%s", run.now()/1000, line)
}

func (run *runner) report() *Report {
	for at := range run.siteLostSinceMs {
		run.recordSiteLoss(at, false, false)
	}
	bounds := run.upperBounds()
	run.mutex.Lock()
	defer run.mutex.Unlock()
	r := &Report{Name: run.Name, Description: run.Description, Policy: run.options.Policy, DetectionMs: -1}
	r.Violations = append(r.Violations, run.invariants.Check(run.now()+1e6)...)
	for i, t := range run.Types {
		r.Types = append(r.Types, TypeReport{t.Name, run.counts.sum(i, 0, math.MaxInt), run.counts.quantile(i, 50), run.counts.quantile(i, 99)})
	}
	seconds := int(run.Seconds)
	books := make([][]float64, 0, len(run.servers))
	for _, s := range run.servers {
		l := ServerReport{Name: s.Name, Site: run.Sites[s.Site].Name}
		var busy []float64
		for _, sec := range s.model.Book() {
			l.Received, l.Rejected = l.Received+sec.Came, l.Rejected+sec.Turned
			ratio := float64(sec.Came) / math.Max(sec.Bears, 1e-9)
			busy = append(busy, ratio)
			l.MaxLoad = max(l.MaxLoad, ratio)
		}
		books = append(books, busy)
		r.Servers = append(r.Servers, l)
		_, worst := s.model.Fell()
		r.MaxWarmUpLoad = max(r.MaxWarmUpLoad, worst)
	}
	top := 0
	for i, t := range run.Types {
		if t.Value > run.Types[top].Value {
			top = i
		}
	}
	for sec := range seconds {
		s := Second{}
		for i := range run.Types {
			t := run.counts.sum(i, sec, sec+1)
			s.Tally = append(s.Tally, t)
			s.Value += t.Value
			// The bound of what was really offered in this second.
			s.Bound += bounds[sec][i] * float64(t.Offered) * run.Types[i].Value
		}
		for _, busy := range books {
			if sec < len(busy) {
				s.MaxServerLoad = max(s.MaxServerLoad, busy[sec])
			}
		}
		r.Seconds = append(r.Seconds, s)
	}
	first := run.FirstFaultS()
	if math.IsInf(first, 1) {
		first = run.Seconds
	}
	end := first
	for _, l := range run.Timeline {
		until := l.AtS + l.DurationS
		if l.DurationS == 0 {
			until = run.Seconds
		}
		if l.PeriodS > 0 {
			until = l.UntilS
		}
		end = max(end, min(until+l.SpreadS, run.Seconds))
	}
	phase := func(name string, from, to float64) {
		from, to = math.Ceil(from), math.Floor(to)
		if to <= from {
			return
		}
		p := Phase{Name: name, StartS: from, EndS: to}
		for i := range run.Types {
			t := run.counts.sum(i, int(from), int(to))
			p.ServedShares = append(p.ServedShares, float64(t.InTime)/math.Max(float64(t.Offered), 1))
			if i == top {
				could := 0.0
				for sec := int(from); sec < int(to); sec++ {
					could += bounds[sec][i] * float64(run.counts.sum(i, sec, sec+1).Offered)
				}
				p.TopTypeShare = float64(t.InTime) / math.Max(could, 1)
			}
		}
		for sec := int(from); sec < int(to) && sec < len(r.Seconds); sec++ {
			p.Value, p.Bound = p.Value+r.Seconds[sec].Value, p.Bound+r.Seconds[sec].Bound
		}
		r.Phases = append(r.Phases, p)
	}
	phase("before", 0, first)
	phase("first seconds", first, min(first+run.Expect.SettleS, end))
	phase("settled", first+run.Expect.SettleS, end)
	phase("return", end, run.Seconds)
	for _, b := range run.brokers {
		for _, o := range run.brokers {
			_, there, _ := run.network.Stats(b.name, o.name)
			r.GossipBytes += there
		}
	}
	if run.leases != nil {
		r.Leases = run.leases.report()
		for _, b := range r.Leases.Broken {
			r.Violations = append(r.Violations, "owners: "+b)
		}
	}
	run.collectSiteReports(r)
	r.FailedExpectations = run.failedExpectations(r)
	return r
}

var siteLogLine = regexp.MustCompile(`^site (\d+) (lost|returning) `)

// collectSiteReports reads what brokers said of sites.
func (run *runner) collectSiteReports(r *Report) {
	zero := float64(run.startedAt.UnixMicro()) / 1000
	heard := map[string]bool{}
	for _, b := range run.brokers {
		text, _ := os.ReadFile(b.log.Name())
		r.Logs = append(r.Logs, string(text))
		for line := range strings.Lines(string(text)) {
			var said struct{ Time, Message string }
			if json.Unmarshal([]byte(line), &said) != nil {
				continue
			}
			m := siteLogLine.FindStringSubmatch(said.Message)
			if m == nil {
				continue
			}
			at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", said.Time)
			if err != nil {
				continue
			}
			site, _ := strconv.Atoi(m[1])
			s := SiteReport{Broker: b.name, AtMs: float64(at.UnixMicro())/1000 - zero, Site: site, Text: said.Message, Lost: m[2] == "lost", OwnSite: site == b.site}
			r.SiteReports = append(r.SiteReports, s)
			if !s.Lost {
				continue
			}
			isTrue := false
			for i, sp := range run.siteLosses {
				// A site that brokers there hold the others to be lost for is cut off from them: that is no false alarm.
				mine := sp.site == site || sp.site == b.site
				if mine && s.AtMs >= sp.startMs-5 && s.AtMs <= sp.endMs+1000 {
					isTrue = true
					if i == 0 && sp.site == site {
						heard[b.name] = true
						r.DetectionMs = max(r.DetectionMs, 0)
					}
				}
			}
			if !isTrue {
				r.FalseAlarms++
			}
		}
	}
	if len(run.siteLosses) == 0 {
		return
	}
	first := run.siteLosses[0]
	var times []float64
	could := 0
	for _, b := range run.brokers {
		if b.site != first.site {
			could++
		}
	}
	seen := map[string]bool{}
	for _, s := range r.SiteReports {
		if s.Lost && s.Site == first.site && s.AtMs >= first.startMs && s.AtMs <= first.endMs && !seen[s.Broker] {
			seen[s.Broker] = true
			times = append(times, s.AtMs-first.startMs)
		}
	}
	sort.Float64s(times)
	r.DetectionMs = -1
	if half := (could + 1) / 2; half > 0 && len(times) >= half {
		r.DetectionMs = times[half-1]
	}
}

// failedExpectations tells which of the file's expectations do not hold.
func (run *runner) failedExpectations(r *Report) (list []string) {
	e := run.Expect
	miss := func(form string, args ...any) { list = append(list, fmt.Sprintf(form, args...)) }
	for _, p := range r.Phases {
		if p.Name != "settled" && p.Name != "return" {
			continue
		}
		if share := p.Value / math.Max(p.Bound, 1e-9); e.MinValueShare != nil && share < *e.MinValueShare {
			miss("%s: %.3f of the bound's value, %.3f wanted", p.Name, share, *e.MinValueShare)
		}
		if e.MinTopTypeShare != nil && p.TopTypeShare < *e.MinTopTypeShare {
			miss("%s: %.3f of the bound for the most valued type, %.3f wanted", p.Name, p.TopTypeShare, *e.MinTopTypeShare)
		}
		if p.Name == "return" && e.MaxReturnDip != nil {
			for sec := int(p.StartS); sec < int(p.EndS) && sec < len(r.Seconds); sec++ {
				if s := r.Seconds[sec]; s.Value < (1-*e.MaxReturnDip)*s.Bound {
					miss("second %d of the return: %.3f of the bound's value", sec, s.Value/math.Max(s.Bound, 1e-9))
				}
			}
		}
	}
	if e.MaxWarmUpLoad != nil && r.MaxWarmUpLoad > *e.MaxWarmUpLoad {
		miss("a cold server was sent %.2f of what it bears, %.2f is the most", r.MaxWarmUpLoad, *e.MaxWarmUpLoad)
	}
	if e.MaxDetectionMs != nil && (r.DetectionMs < 0 || r.DetectionMs > *e.MaxDetectionMs) {
		miss("half of the brokers held the site to be lost after %.0f ms, %.0f wanted", r.DetectionMs, *e.MaxDetectionMs)
	}
	if e.MaxFalseAlarms != nil && r.FalseAlarms > *e.MaxFalseAlarms {
		miss("%d false alarms, %d allowed", r.FalseAlarms, *e.MaxFalseAlarms)
	}
	return list
}

// Print writes the table.
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
			o.Counted, o.Takeovers, quantile(o.GapsMs, 0.5), quantile(o.GapsMs, 0.99), o.Refused, o.Again, o.StaleEffects)
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

// quantile of an ordered list; 0 where it is empty.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// Plot draws value by second against the bound, for one or more reports, into a PNG or SVG file.
func Plot(file string, reports ...*Report) error {
	p := plot.New()
	p.Title.Text = reports[0].Name
	p.X.Label.Text = "s"
	p.Y.Label.Text = "value served in a second"
	p.Y.Min = 0
	p.Legend.Top = false
	line := func(name string, of func(Second) float64, r *Report) []any {
		var xy plotter.XYs
		for i, s := range r.Seconds {
			xy = append(xy, plotter.XY{X: float64(i), Y: of(s)})
		}
		return []any{name, xy}
	}
	list := line("bound", func(s Second) float64 { return s.Bound }, reports[0])
	for _, r := range reports {
		name := r.Policy
		if name == "" {
			name = "module"
		}
		list = append(list, line(name, func(s Second) float64 { return s.Value }, r)...)
	}
	if err := plotutil.AddLines(p, list...); err != nil {
		return err
	}
	return p.Save(9*vg.Inch, 4*vg.Inch, file)
}
