// Package scenario plays a file on the rig: broker processes, stand-in servers, discovery, fronts and clients at sites,
// links with faults between them, and a time line with a seed. What happened is counted at clients and servers.
package scenario

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"kestrelspread/internal/rig/links"
	"kestrelspread/internal/standin/station"
)

// Schema is the published form of a scenario.
//
//go:embed schema.json
var Schema []byte

// File is a scenario. Times are as their names say.
type File struct {
	Name         string         `json:"name"`
	Description  string         `json:"says"`
	Seed         uint64         `json:"seed"`
	Seconds      float64        `json:"seconds"`
	Sites        []Site         `json:"sites"`
	ShardCount   int            `json:"places"`
	ReplicaCount int            `json:"copies"`
	Layout       string         `json:"layout"`
	Servers      Servers        `json:"servers"`
	Types        []QueryType    `json:"types"`
	Clients      Clients        `json:"clients"`
	Links        Links          `json:"links"`
	Discovery    DiscoveryLag   `json:"list"`
	Headroom     float64        `json:"headroom"`
	Gossip       bool           `json:"talk"`
	Leases       *Leases        `json:"owners"`
	Operator     map[string]any `json:"operator"` // parts of the operator's file that each broker gets
	Timeline     []Fault        `json:"line"`
	Expect       Expectations   `json:"expect"`

	answerSlackMs float64 // ms by which an answer may come after its time: what runs beside takes its part of the machine
}

// Site is one site: how many servers and brokers stand there.
type Site struct {
	Name    string   `json:"name"`
	Servers int      `json:"servers"`
	Brokers int      `json:"brokers"`
	Load    *float64 `json:"load"`
}

// Servers tells how servers work.
type Servers struct {
	Slots       int     `json:"slots"`
	WorkMs      float64 `json:"work-ms"`
	CV          float64 `json:"cv"`
	QueueLength int     `json:"queue"`
	WarmUp      *struct {
		Share    float64 `json:"share"`
		Ms       float64 `json:"ms"`
		Multiple float64 `json:"multiple"`
		Over     float64 `json:"over-ms"`
	} `json:"cold"`
}

// QueryType is one query type and its load.
type QueryType struct {
	Name            string   `json:"name"`
	RatePerS        float64  `json:"per-s"`
	ShardsPerQuery  int      `json:"parts"`
	TargetMs        float64  `json:"target-ms"`
	TimeoutMs       float64  `json:"timeout-ms"`
	Value           float64  `json:"value"`
	LateValue       *float64 `json:"late"`
	MinCompleteness *float64 `json:"floor"`
	Effect          string   `json:"effect"`
}

// Clients tells how clients behave that are refused.
type Clients struct {
	Retries           *int     `json:"retries"`
	HonoursRetryAfter *float64 `json:"honour"`
	CheckIntervalMs   float64  `json:"check-ms"`
}

// Links are the ways within a site and between two.
type Links struct {
	Within  links.Conditions `json:"within"`
	Between links.Conditions `json:"between"`
}

// DiscoveryLag tells how soon the list of servers follows what happens.
type DiscoveryLag struct {
	RemovalMs float64 `json:"gone-ms"`
	ReturnMs  float64 `json:"back-ms"`
}

// Fault is one entry of the time line.
type Fault struct {
	AtS         float64          `json:"at-s"`
	DurationS   float64          `json:"for-s,omitempty"`
	Action      string           `json:"do"`
	Target      string           `json:"on,omitempty"`
	Source      string           `json:"from,omitempty"`
	Destination string           `json:"to,omitempty"`
	Direction   string           `json:"way,omitempty"`
	Share       float64          `json:"share,omitempty"`
	Factor      float64          `json:"times,omitempty"`
	DelayMs     float64          `json:"ms,omitempty"`
	Conditions  links.Conditions `json:"link,omitzero"`
	NewIDs      bool             `json:"new-ids,omitempty"`
	PeriodS     float64          `json:"every-s,omitempty"`
	UntilS      float64          `json:"until-s,omitempty"`
	SpreadS     float64          `json:"spread-s,omitempty"`
}

// Expectations is what a run is held against. nil: not looked at.
type Expectations struct {
	SettleS         float64  `json:"settled-s"`
	MinTopTypeShare *float64 `json:"top"`
	MinValueShare   *float64 `json:"all"`
	MaxReturnDip    *float64 `json:"dip"`
	MaxWarmUpLoad   *float64 `json:"over"`
	MaxDetectionMs  *float64 `json:"detect-ms"`
	MaxFalseAlarms  *int     `json:"false-alarms"`
}

// Read checks a file's text, whole: against the schema, then for what a schema can't say. Each error names a path.
func Read(text []byte) (*File, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("urn:kestrelspread:scenario", doc); err != nil {
		return nil, err
	}
	schema, err := c.Compile("urn:kestrelspread:scenario")
	if err != nil {
		return nil, err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("no JSON: %w", err)
	}
	if err := schema.Validate(value); err != nil {
		return nil, err
	}
	f := &File{}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, err
	}
	f.applyDefaults()
	return f, f.check()
}

func setDefault[T any](p **T, v T) {
	if *p == nil {
		*p = &v
	}
}

func setDefaultNumber(p *float64, v float64) {
	if *p == 0 {
		*p = v
	}
}

func (f *File) applyDefaults() {
	if f.Seed == 0 {
		f.Seed = 1
	}
	if f.Layout == "" {
		f.Layout = "mixed"
	}
	for i := range f.Sites {
		setDefault(&f.Sites[i].Load, 1)
	}
	setDefaultNumber(&f.Servers.CV, 0.3)
	if f.Servers.QueueLength == 0 {
		f.Servers.QueueLength = 50
	}
	for i := range f.Types {
		t := &f.Types[i]
		setDefaultNumber(&t.Value, 1)
		setDefault(&t.LateValue, 0.3)
		setDefault(&t.MinCompleteness, 1)
		if t.Effect == "" {
			t.Effect = "idempotent"
		}
	}
	setDefault(&f.Clients.Retries, 1)
	setDefault(&f.Clients.HonoursRetryAfter, 0.7)
	setDefaultNumber(&f.Clients.CheckIntervalMs, 200)
	setDefaultNumber(&f.Discovery.RemovalMs, 4000)
	setDefaultNumber(&f.Discovery.ReturnMs, 1500)
	setDefaultNumber(&f.Headroom, 0.9)
	setDefaultNumber(&f.Expect.SettleS, 2)
	setDefaultNumber(&f.answerSlackMs, 150)
	for i := range f.Timeline {
		setDefaultNumber(&f.Timeline[i].Share, 1)
		if f.Timeline[i].Direction == "" {
			f.Timeline[i].Direction = "both"
		}
	}
}

func (f *File) check() error {
	var bad []error
	wrong := func(form string, args ...any) { bad = append(bad, fmt.Errorf(form, args...)) }
	seen := map[string]bool{}
	servers, brokers, load := 0, 0, 0.0
	for i, s := range f.Sites {
		if seen[s.Name] {
			wrong("/sites/%d/name: there are two", i)
		}
		seen[s.Name] = true
		servers, brokers, load = servers+s.Servers, brokers+s.Brokers, load+*s.Load
	}
	if servers == 0 || brokers == 0 || load == 0 {
		wrong("/sites: no server, no broker or no load")
	}
	if o := f.Leases; o != nil && o.Voters > brokers {
		wrong("/owners/voters: more than brokers")
	}
	if f.ShardCount > servers {
		wrong("/places: more than servers")
	}
	if f.ReplicaCount > f.ShardCount {
		wrong("/copies: more than places")
	}
	for i, t := range f.Types {
		if t.ShardsPerQuery > f.ShardCount {
			wrong("/types/%d/parts: more than places", i)
		}
		if t.TargetMs > t.TimeoutMs {
			wrong("/types/%d/target-ms: over the time-out", i)
		}
	}
	needs := map[string]string{"lose": "on", "cut": "from to", "links": "from to link", "refuse": "from to", "reset": "from to", "half-open": "from to",
		"slow": "on times", "mute": "on", "fail": "on", "kill": "on", "stop": "on", "freeze-list": "on", "late-list": "on ms", "load": "times", "sleep-owner": "", "lose-disk": "on"}
	for i, l := range f.Timeline {
		have := map[string]bool{"on": l.Target != "", "from": l.Source != "", "to": l.Destination != "", "times": l.Factor > 0, "ms": l.DelayMs > 0, "link": l.Conditions != links.Conditions{}}
		for _, need := range strings.Fields(needs[l.Action]) {
			if !have[need] {
				wrong("/line/%d: %s needs %s", i, l.Action, need)
			}
		}
		for _, p := range []string{l.Target, l.Source, l.Destination} {
			if _, site, at := strings.Cut(p, "@"); at && !seen[site] {
				wrong("/line/%d: no site %q", i, site)
			}
		}
		if l.PeriodS > 0 && (l.UntilS <= l.AtS || l.DurationS <= 0 || l.DurationS >= l.PeriodS) {
			wrong("/line/%d: every-s needs until-s after at-s, and for-s under every-s", i)
		}
		if (l.Action == "sleep-owner" || l.Action == "lose-disk") && f.Leases == nil {
			wrong("/line/%d/do: there are no owners", i)
		}
		if l.Action == "lose" && !strings.HasPrefix(l.Target, "@") {
			wrong("/line/%d/on: a site is lost, @NAME", i)
		}
	}
	return errors.Join(bad...)
}

// ServerModel is what the file's servers can do.
func (f *File) ServerModel() station.Kind {
	k := station.Kind{Slots: f.Servers.Slots, Work: f.Servers.WorkMs, CV: f.Servers.CV, Queue: f.Servers.QueueLength}
	if c := f.Servers.WarmUp; c != nil {
		k.ColdFrom, k.ColdFor, k.Multiple, k.Over = c.Share, c.Ms, c.Multiple, c.Over
	}
	return k
}

// Server is one server of a scenario: where it stands, and the first of the places whose shards it holds.
type Server struct {
	Name string
	Site int
	Cell int
}

// ServerLayout gives the servers, in the order of the list. A server of a cell holds the shards from its cell backwards, as
// many as there are copies.
func (f *File) ServerLayout() (list []Server) {
	left := make([]int, len(f.Sites))
	total := 0
	for i, s := range f.Sites {
		left[i] = s.Servers
		total += s.Servers
	}
	at := 0
	for n := range total {
		switch f.Layout {
		case "apart":
			for left[at] == 0 {
				at++
			}
		default: // sites in turn, the fuller ones more often
			best, share := -1, -1.0
			for i, s := range f.Sites {
				if left[i] > 0 && float64(left[i])/float64(s.Servers) > share {
					best, share = i, float64(left[i])/float64(s.Servers)
				}
			}
			at = best
		}
		left[at]--
		list = append(list, Server{Name: fmt.Sprintf("s%d", n), Site: at, Cell: n * f.ShardCount / total})
		if f.Layout != "apart" {
			list[n].Cell = n % f.ShardCount
		}
	}
	return list
}

// Holds tells whether a server of a cell holds a shard.
func (f *File) Holds(cell, shard int) bool {
	return ((cell-shard)%f.ShardCount+f.ShardCount)%f.ShardCount < f.ReplicaCount
}

// Step is one change of a schedule: a fault begins, or ends.
type Step struct {
	AtS        float64 // s
	Ends       bool
	FaultIndex int // of the line
	Round      int // of those that come again and again
	Target     string
	Fault      Fault
}

// String tells the step in words, as a schedule is printed.
func (s Step) String() string {
	word := "begins"
	if s.Ends {
		word = "ends"
	}
	what := strings.TrimSpace(fmt.Sprintf("%s %s %s", s.Fault.Action, s.Fault.Target, s.Target))
	if s.Fault.Source != "" {
		what = fmt.Sprintf("%s %s to %s (%s)", s.Fault.Action, s.Fault.Source, s.Fault.Destination, s.Fault.Direction)
	}
	return fmt.Sprintf("%8.3f s  %s %s", s.AtS, what, word)
}

// Schedule is the time line, step by step: a function of the file alone. parties gives who a pattern stands for.
func (f *File) Schedule(resolve func(pattern string, share float64) []string) (list []Step) {
	rng := rand.New(rand.NewPCG(f.Seed, 3))
	for i, l := range f.Timeline {
		last := l.AtS
		if l.PeriodS > 0 {
			last = l.UntilS - 1e-9
		}
		for round, at := 0, l.AtS; at <= last; round, at = round+1, at+max(l.PeriodS, 1e-3) {
			who := []string{""}
			if l.Target != "" && l.Action != "lose" && l.Action != "load" {
				who = resolve(l.Target, l.Share)
			}
			for _, p := range who {
				from := at
				if l.SpreadS > 0 {
					from += l.SpreadS * rng.Float64()
				}
				list = append(list, Step{AtS: from, FaultIndex: i, Round: round, Target: p, Fault: l})
				if l.DurationS > 0 {
					list = append(list, Step{AtS: from + l.DurationS, Ends: true, FaultIndex: i, Round: round, Target: p, Fault: l})
				}
			}
			if l.PeriodS == 0 {
				break
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].AtS < list[j].AtS })
	return list
}

// FirstFaultS is when the first fault comes, in s; positive infinity without one.
func (f *File) FirstFaultS() float64 {
	first := math.Inf(1)
	for _, l := range f.Timeline {
		first = min(first, l.AtS)
	}
	return first
}
