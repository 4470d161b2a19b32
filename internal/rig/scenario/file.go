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
	Name     string         `json:"name"`
	Says     string         `json:"says"`
	Seed     uint64         `json:"seed"`
	Seconds  float64        `json:"seconds"`
	Sites    []Site         `json:"sites"`
	Places   int            `json:"places"`
	Copies   int            `json:"copies"`
	Layout   string         `json:"layout"`
	Servers  Servers        `json:"servers"`
	Types    []Type         `json:"types"`
	Clients  Clients        `json:"clients"`
	Links    Links          `json:"links"`
	List     List           `json:"list"`
	Headroom float64        `json:"headroom"`
	Talk     bool           `json:"talk"`
	Owners   *Owners        `json:"owners"`
	Operator map[string]any `json:"operator"` // parts of the operator's file that each broker gets
	Line     []Fault        `json:"line"`
	Expect   Expected       `json:"expect"`

	slack float64 // ms by which an answer may come after its time: what runs beside takes its part of the machine
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
	Slots int     `json:"slots"`
	Work  float64 `json:"work-ms"`
	CV    float64 `json:"cv"`
	Queue int     `json:"queue"`
	Cold  *struct {
		Share    float64 `json:"share"`
		Ms       float64 `json:"ms"`
		Multiple float64 `json:"multiple"`
		Over     float64 `json:"over-ms"`
	} `json:"cold"`
}

// Type is one query type and its load.
type Type struct {
	Name    string   `json:"name"`
	PerS    float64  `json:"per-s"`
	Parts   int      `json:"parts"`
	Target  float64  `json:"target-ms"`
	Timeout float64  `json:"timeout-ms"`
	Value   float64  `json:"value"`
	Late    *float64 `json:"late"`
	Floor   *float64 `json:"floor"`
	Effect  string   `json:"effect"`
}

// Clients tells how clients behave that are refused.
type Clients struct {
	Retries *int     `json:"retries"`
	Honour  *float64 `json:"honour"`
	Check   float64  `json:"check-ms"`
}

// Links are the ways within a site and between two.
type Links struct {
	Within  links.Way `json:"within"`
	Between links.Way `json:"between"`
}

// List tells how soon the list of servers follows what happens.
type List struct {
	Gone float64 `json:"gone-ms"`
	Back float64 `json:"back-ms"`
}

// Fault is one entry of the time line.
type Fault struct {
	At     float64   `json:"at-s"`
	For    float64   `json:"for-s,omitempty"`
	Do     string    `json:"do"`
	On     string    `json:"on,omitempty"`
	From   string    `json:"from,omitempty"`
	To     string    `json:"to,omitempty"`
	Way    string    `json:"way,omitempty"`
	Share  float64   `json:"share,omitempty"`
	Times  float64   `json:"times,omitempty"`
	Ms     float64   `json:"ms,omitempty"`
	Link   links.Way `json:"link,omitzero"`
	NewIDs bool      `json:"new-ids,omitempty"`
	Every  float64   `json:"every-s,omitempty"`
	Until  float64   `json:"until-s,omitempty"`
	Spread float64   `json:"spread-s,omitempty"`
}

// Expected is what a run is held against. nil: not looked at.
type Expected struct {
	Settled     float64  `json:"settled-s"`
	Top         *float64 `json:"top"`
	All         *float64 `json:"all"`
	Dip         *float64 `json:"dip"`
	Over        *float64 `json:"over"`
	Detect      *float64 `json:"detect-ms"`
	FalseAlarms *int     `json:"false-alarms"`
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
	f.fill()
	return f, f.check()
}

func or[T any](p **T, v T) {
	if *p == nil {
		*p = &v
	}
}

func nonzero(p *float64, v float64) {
	if *p == 0 {
		*p = v
	}
}

func (f *File) fill() {
	if f.Seed == 0 {
		f.Seed = 1
	}
	if f.Layout == "" {
		f.Layout = "mixed"
	}
	for i := range f.Sites {
		or(&f.Sites[i].Load, 1)
	}
	nonzero(&f.Servers.CV, 0.3)
	if f.Servers.Queue == 0 {
		f.Servers.Queue = 50
	}
	for i := range f.Types {
		t := &f.Types[i]
		nonzero(&t.Value, 1)
		or(&t.Late, 0.3)
		or(&t.Floor, 1)
		if t.Effect == "" {
			t.Effect = "idempotent"
		}
	}
	or(&f.Clients.Retries, 1)
	or(&f.Clients.Honour, 0.7)
	nonzero(&f.Clients.Check, 200)
	nonzero(&f.List.Gone, 4000)
	nonzero(&f.List.Back, 1500)
	nonzero(&f.Headroom, 0.9)
	nonzero(&f.Expect.Settled, 2)
	nonzero(&f.slack, 150)
	for i := range f.Line {
		nonzero(&f.Line[i].Share, 1)
		if f.Line[i].Way == "" {
			f.Line[i].Way = "both"
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
	if o := f.Owners; o != nil && o.Voters > brokers {
		wrong("/owners/voters: more than brokers")
	}
	if f.Places > servers {
		wrong("/places: more than servers")
	}
	if f.Copies > f.Places {
		wrong("/copies: more than places")
	}
	for i, t := range f.Types {
		if t.Parts > f.Places {
			wrong("/types/%d/parts: more than places", i)
		}
		if t.Target > t.Timeout {
			wrong("/types/%d/target-ms: over the time-out", i)
		}
	}
	needs := map[string]string{"lose": "on", "cut": "from to", "links": "from to link", "refuse": "from to", "reset": "from to", "half-open": "from to",
		"slow": "on times", "mute": "on", "fail": "on", "kill": "on", "stop": "on", "freeze-list": "on", "late-list": "on ms", "load": "times", "sleep-owner": "", "lose-disk": "on"}
	for i, l := range f.Line {
		have := map[string]bool{"on": l.On != "", "from": l.From != "", "to": l.To != "", "times": l.Times > 0, "ms": l.Ms > 0, "link": l.Link != links.Way{}}
		for _, need := range strings.Fields(needs[l.Do]) {
			if !have[need] {
				wrong("/line/%d: %s needs %s", i, l.Do, need)
			}
		}
		for _, p := range []string{l.On, l.From, l.To} {
			if _, site, at := strings.Cut(p, "@"); at && !seen[site] {
				wrong("/line/%d: no site %q", i, site)
			}
		}
		if l.Every > 0 && (l.Until <= l.At || l.For <= 0 || l.For >= l.Every) {
			wrong("/line/%d: every-s needs until-s after at-s, and for-s under every-s", i)
		}
		if (l.Do == "sleep-owner" || l.Do == "lose-disk") && f.Owners == nil {
			wrong("/line/%d/do: there are no owners", i)
		}
		if l.Do == "lose" && !strings.HasPrefix(l.On, "@") {
			wrong("/line/%d/on: a site is lost, @NAME", i)
		}
	}
	return errors.Join(bad...)
}

// Kind is what the file's servers can do.
func (f *File) Kind() station.Kind {
	k := station.Kind{Slots: f.Servers.Slots, Work: f.Servers.Work, CV: f.Servers.CV, Queue: f.Servers.Queue}
	if c := f.Servers.Cold; c != nil {
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

// Layouts gives the servers, in the order of the list. A server of a cell holds the shards from its cell backwards, as
// many as there are copies.
func (f *File) Layouts() (list []Server) {
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
		list = append(list, Server{Name: fmt.Sprintf("s%d", n), Site: at, Cell: n * f.Places / total})
		if f.Layout != "apart" {
			list[n].Cell = n % f.Places
		}
	}
	return list
}

// Holds tells whether a server of a cell holds a shard.
func (f *File) Holds(cell, shard int) bool {
	return ((cell-shard)%f.Places+f.Places)%f.Places < f.Copies
}

// Step is one change of a schedule: a fault begins, or ends.
type Step struct {
	At    float64 // s
	Ends  bool
	Fault int // of the line
	Round int // of those that come again and again
	Party string
	What  Fault
}

// String tells the step in words, as a schedule is printed.
func (s Step) String() string {
	word := "begins"
	if s.Ends {
		word = "ends"
	}
	what := strings.TrimSpace(fmt.Sprintf("%s %s %s", s.What.Do, s.What.On, s.Party))
	if s.What.From != "" {
		what = fmt.Sprintf("%s %s to %s (%s)", s.What.Do, s.What.From, s.What.To, s.What.Way)
	}
	return fmt.Sprintf("%8.3f s  %s %s", s.At, what, word)
}

// Schedule is the time line, step by step: a function of the file alone. parties gives who a pattern stands for.
func (f *File) Schedule(parties func(pattern string, share float64) []string) (list []Step) {
	rng := rand.New(rand.NewPCG(f.Seed, 3))
	for i, l := range f.Line {
		last := l.At
		if l.Every > 0 {
			last = l.Until - 1e-9
		}
		for round, at := 0, l.At; at <= last; round, at = round+1, at+max(l.Every, 1e-3) {
			who := []string{""}
			if l.On != "" && l.Do != "lose" && l.Do != "load" {
				who = parties(l.On, l.Share)
			}
			for _, p := range who {
				from := at
				if l.Spread > 0 {
					from += l.Spread * rng.Float64()
				}
				list = append(list, Step{At: from, Fault: i, Round: round, Party: p, What: l})
				if l.For > 0 {
					list = append(list, Step{At: from + l.For, Ends: true, Fault: i, Round: round, Party: p, What: l})
				}
			}
			if l.Every == 0 {
				break
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	return list
}

// First is when the first fault comes, in s; positive infinity without one.
func (f *File) First() float64 {
	first := math.Inf(1)
	for _, l := range f.Line {
		first = min(first, l.At)
	}
	return first
}
