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
	Name    string        `json:"name"`
	Says    string        `json:"says"`
	Policy  string        `json:"policy"`
	Seconds []Second      `json:"seconds"`
	Types   []TypeReport  `json:"types"`
	Servers []Load        `json:"servers"`
	Broken  []string      `json:"broken,omitempty"`
	Sights  []Sight       `json:"sights,omitempty"`
	Detect  float64       `json:"detect_ms"` // until half of the brokers that could hear held the first lost site to be lost; -1: never
	False   int           `json:"false_alarms"`
	Worst   float64       `json:"worst_cold"` // what a cold server was sent, against what it bears
	Phases  []Phase       `json:"phases"`
	Missed  []string      `json:"missed,omitempty"` // of what the file expects
	Said    int64         `json:"said_bytes"`       // among brokers
	Owners  *OwnersReport `json:"owners,omitempty"`
	Logs    []string      `json:"-"` // by broker
}

// Second is the value served in one second, against the bound, and what became of the searches.
type Second struct {
	Value   float64 `json:"value"`
	Bound   float64 `json:"bound"`
	Tally   []Tally `json:"by_type"`
	Busiest float64 `json:"busiest"` // server: answered against what it bears
}

// TypeReport is one query type's whole run.
type TypeReport struct {
	Name string `json:"name"`
	Tally
	P50, P99 float64 // ms, of those that were answered
}

// Load is what one server was sent.
type Load struct {
	Name, Site string
	Came       int
	Turned     int
	Worst      float64 // busiest second: came against what it bears
}

// Sight is what a broker said of a site. It explains; it is no result.
type Sight struct {
	Broker string  `json:"broker"`
	At     float64 `json:"at_ms"`
	Site   int     `json:"site"`
	Text   string  `json:"text"`
	Lost   bool    `json:"lost"`
	Own    bool    `json:"own_site"`
}

// Phase is a stretch of the run, against the bound of the same stretch.
type Phase struct {
	Name     string    `json:"name"`
	From, To float64   `json:"-"`
	Value    float64   `json:"value"`
	Bound    float64   `json:"bound"`
	Served   []float64 `json:"served"` // in time, of what was offered, by type
	Top      float64   `json:"top"`    // the most valued type's share served in time, against the bound's
}

func (w *world) progress() {
	w.lock.Lock()
	defer w.lock.Unlock()
	at := int(w.now()/1000) - 1
	line := ""
	for i, t := range w.Types {
		s := w.counts.sum(i, at-1, at)
		line += fmt.Sprintf("  %s %d of %d in time, %d shed", t.Name, s.InTime, s.Offered, s.Shed+s.Nobody)
	}
	w.opt.Say("%8.3f s%s", w.now()/1000, line)
}

func (w *world) report() *Report {
	for at := range w.lostNow {
		w.mark(at, false, false)
	}
	bounds := w.bounds()
	w.lock.Lock()
	defer w.lock.Unlock()
	r := &Report{Name: w.Name, Says: w.Says, Policy: w.opt.Policy, Detect: -1}
	r.Broken = append(r.Broken, w.book.Check(w.now()+1e6)...)
	for i, t := range w.Types {
		r.Types = append(r.Types, TypeReport{t.Name, w.counts.sum(i, 0, math.MaxInt), w.counts.quantile(i, 50), w.counts.quantile(i, 99)})
	}
	seconds := int(w.Seconds)
	books := make([][]float64, 0, len(w.servers))
	for _, s := range w.servers {
		l := Load{Name: s.Name, Site: w.Sites[s.Site].Name}
		var busy []float64
		for _, sec := range s.station.Book() {
			l.Came, l.Turned = l.Came+sec.Came, l.Turned+sec.Turned
			ratio := float64(sec.Came) / math.Max(sec.Bears, 1e-9)
			busy = append(busy, ratio)
			l.Worst = max(l.Worst, ratio)
		}
		books = append(books, busy)
		r.Servers = append(r.Servers, l)
		_, worst := s.station.Fell()
		r.Worst = max(r.Worst, worst)
	}
	top := 0
	for i, t := range w.Types {
		if t.Value > w.Types[top].Value {
			top = i
		}
	}
	for sec := range seconds {
		s := Second{}
		for i := range w.Types {
			t := w.counts.sum(i, sec, sec+1)
			s.Tally = append(s.Tally, t)
			s.Value += t.Value
			// The bound of what was really offered in this second.
			s.Bound += bounds[sec][i] * float64(t.Offered) * w.Types[i].Value
		}
		for _, busy := range books {
			if sec < len(busy) {
				s.Busiest = max(s.Busiest, busy[sec])
			}
		}
		r.Seconds = append(r.Seconds, s)
	}
	first := w.First()
	if math.IsInf(first, 1) {
		first = w.Seconds
	}
	end := first
	for _, l := range w.Line {
		until := l.At + l.For
		if l.For == 0 {
			until = w.Seconds
		}
		if l.Every > 0 {
			until = l.Until
		}
		end = max(end, min(until+l.Spread, w.Seconds))
	}
	phase := func(name string, from, to float64) {
		from, to = math.Ceil(from), math.Floor(to)
		if to <= from {
			return
		}
		p := Phase{Name: name, From: from, To: to}
		for i := range w.Types {
			t := w.counts.sum(i, int(from), int(to))
			p.Served = append(p.Served, float64(t.InTime)/math.Max(float64(t.Offered), 1))
			if i == top {
				could := 0.0
				for sec := int(from); sec < int(to); sec++ {
					could += bounds[sec][i] * float64(w.counts.sum(i, sec, sec+1).Offered)
				}
				p.Top = float64(t.InTime) / math.Max(could, 1)
			}
		}
		for sec := int(from); sec < int(to) && sec < len(r.Seconds); sec++ {
			p.Value, p.Bound = p.Value+r.Seconds[sec].Value, p.Bound+r.Seconds[sec].Bound
		}
		r.Phases = append(r.Phases, p)
	}
	phase("before", 0, first)
	phase("first seconds", first, min(first+w.Expect.Settled, end))
	phase("settled", first+w.Expect.Settled, end)
	phase("return", end, w.Seconds)
	for _, b := range w.brokers {
		for _, o := range w.brokers {
			_, there, _ := w.net.Stats(b.name, o.name)
			r.Said += there
		}
	}
	if w.quorum != nil {
		r.Owners = w.quorum.report()
		for _, b := range r.Owners.Broken {
			r.Broken = append(r.Broken, "owners: "+b)
		}
	}
	w.sights(r)
	r.Missed = w.missed(r)
	return r
}

var siteLine = regexp.MustCompile(`^site (\d+) (lost|returning) `)

// sights reads what brokers said of sites.
func (w *world) sights(r *Report) {
	zero := float64(w.zero.UnixMicro()) / 1000
	heard := map[string]bool{}
	for _, b := range w.brokers {
		text, _ := os.ReadFile(b.log.Name())
		r.Logs = append(r.Logs, string(text))
		for line := range strings.Lines(string(text)) {
			var said struct{ Time, Message string }
			if json.Unmarshal([]byte(line), &said) != nil {
				continue
			}
			m := siteLine.FindStringSubmatch(said.Message)
			if m == nil {
				continue
			}
			at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", said.Time)
			if err != nil {
				continue
			}
			site, _ := strconv.Atoi(m[1])
			s := Sight{Broker: b.name, At: float64(at.UnixMicro())/1000 - zero, Site: site, Text: said.Message, Lost: m[2] == "lost", Own: site == b.site}
			r.Sights = append(r.Sights, s)
			if !s.Lost {
				continue
			}
			isTrue := false
			for i, sp := range w.lostEver {
				// A site that brokers there hold the others to be lost for is cut off from them: that is no false alarm.
				mine := sp.site == site || sp.site == b.site
				if mine && s.At >= sp.from-5 && s.At <= sp.to+1000 {
					isTrue = true
					if i == 0 && sp.site == site {
						heard[b.name] = true
						r.Detect = max(r.Detect, 0)
					}
				}
			}
			if !isTrue {
				r.False++
			}
		}
	}
	if len(w.lostEver) == 0 {
		return
	}
	first := w.lostEver[0]
	var times []float64
	could := 0
	for _, b := range w.brokers {
		if b.site != first.site {
			could++
		}
	}
	seen := map[string]bool{}
	for _, s := range r.Sights {
		if s.Lost && s.Site == first.site && s.At >= first.from && s.At <= first.to && !seen[s.Broker] {
			seen[s.Broker] = true
			times = append(times, s.At-first.from)
		}
	}
	sort.Float64s(times)
	r.Detect = -1
	if half := (could + 1) / 2; half > 0 && len(times) >= half {
		r.Detect = times[half-1]
	}
}

// missed tells which of the file's expectations do not hold.
func (w *world) missed(r *Report) (list []string) {
	e := w.Expect
	miss := func(form string, args ...any) { list = append(list, fmt.Sprintf(form, args...)) }
	for _, p := range r.Phases {
		if p.Name != "settled" && p.Name != "return" {
			continue
		}
		if share := p.Value / math.Max(p.Bound, 1e-9); e.All != nil && share < *e.All {
			miss("%s: %.3f of the bound's value, %.3f wanted", p.Name, share, *e.All)
		}
		if e.Top != nil && p.Top < *e.Top {
			miss("%s: %.3f of the bound for the most valued type, %.3f wanted", p.Name, p.Top, *e.Top)
		}
		if p.Name == "return" && e.Dip != nil {
			for sec := int(p.From); sec < int(p.To) && sec < len(r.Seconds); sec++ {
				if s := r.Seconds[sec]; s.Value < (1-*e.Dip)*s.Bound {
					miss("second %d of the return: %.3f of the bound's value", sec, s.Value/math.Max(s.Bound, 1e-9))
				}
			}
		}
	}
	if e.Over != nil && r.Worst > *e.Over {
		miss("a cold server was sent %.2f of what it bears, %.2f is the most", r.Worst, *e.Over)
	}
	if e.Detect != nil && (r.Detect < 0 || r.Detect > *e.Detect) {
		miss("half of the brokers held the site to be lost after %.0f ms, %.0f wanted", r.Detect, *e.Detect)
	}
	if e.FalseAlarms != nil && r.False > *e.FalseAlarms {
		miss("%d false alarms, %d allowed", r.False, *e.FalseAlarms)
	}
	return list
}

// Print writes the table.
func (r *Report) Print(out io.Writer) {
	policy := r.Policy
	if policy == "" {
		policy = "the module"
	}
	fmt.Fprintf(out, "%s, by %s: %s\n\n", r.Name, policy, r.Says)
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "type\toffered\tin time\tlate\tin part\tshed\terrored\tno broker\t")
	for _, k := range r.Types {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", k.Name, k.Offered, k.InTime, k.Late, k.InPart, k.Shed, k.Errored, k.Nobody)
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
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.3f\t%.3f\t", p.Name, p.From, p.To, p.Value, p.Value/math.Max(p.Bound, 1e-9), p.Top)
		for _, v := range p.Served {
			fmt.Fprintf(t, "%.3f\t", v)
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	worst := 0.0
	for _, s := range r.Servers {
		worst = max(worst, s.Worst)
	}
	fmt.Fprintf(out, "\nbusiest second of a server: %.2f of what it bears; cold servers: at most %.2f of what they bear; ", worst, r.Worst)
	fmt.Fprintf(out, "lost after %.0f ms (half of the brokers), %d false alarms\n", r.Detect, r.False)
	if o := r.Owners; o != nil {
		fmt.Fprintf(out, "owners: %d effects counted, %d take-overs (gap p50 %.0f ms, p99 %.0f ms), %d effects of old owners refused, %d repeated; %d came after a newer owner's\n",
			o.Counted, o.Takeovers, quantile(o.Gaps, 0.5), quantile(o.Gaps, 0.99), o.Refused, o.Again, o.Unfenced)
	}
	for _, k := range r.Types {
		fmt.Fprintf(out, "%s: p50 %.0f ms, p99 %.0f ms of what was answered\n", k.Name, k.P50, k.P99)
	}
	for i, b := range r.Broken {
		if i == 10 {
			fmt.Fprintf(out, "and %d more\n", len(r.Broken)-i)
			break
		}
		fmt.Fprintln(out, "BROKEN:", b)
	}
	for _, m := range r.Missed {
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
