// Package scenario runs a scenario file on loopback: broker processes, simulated servers, discovery, front ends and clients at sites,
// links with faults between them, and a time line of faults that follows from a seed. Results are counted at clients and servers.
// Brokers and links run in real time: a run is repeatable in its schedule, not in its figures.
package scenario

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"kestrelspread/internal/harness/links"
)

// Schema is the JSON schema of scenario files.
//
//go:embed schema.json
var Schema []byte

// File is a scenario file. The units of its times are in the names.
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
	Operator     map[string]any `json:"operator"` // parts of the operator's file of each broker
	Timeline     []Fault        `json:"line"`
	Expect       Expectations   `json:"expect"`

	answerSlackMs float64 // by which an answer may be late: other processes take part of the machine
}

// Site is one site with its servers and brokers.
type Site struct {
	Name    string   `json:"name"`
	Servers int      `json:"servers"`
	Brokers int      `json:"brokers"`
	Load    *float64 `json:"load"`
}

// Servers describes the servers.
type Servers struct {
	Slots       int     `json:"slots"`
	WorkMs      float64 `json:"work-ms"`
	WorkCV      float64 `json:"cv"`
	QueueLength int     `json:"queue"`
	WarmUp      *struct {
		CapacityShare float64 `json:"share"`
		DurationMs    float64 `json:"ms"`
		TipMultiple   float64 `json:"multiple"`
		TipAfterMs    float64 `json:"over-ms"`
	} `json:"cold"`
}

// QueryType is one type of queries and its load.
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

// Clients describes the clients: retries of shed queries, and readiness checks of the front ends.
type Clients struct {
	Retries           *int     `json:"retries"`
	HonoursRetryAfter *float64 `json:"honour"`
	CheckIntervalMs   float64  `json:"check-ms"`
}

// Links are the conditions of links within a site and between two.
type Links struct {
	Within  links.Conditions `json:"within"`
	Between links.Conditions `json:"between"`
}

// DiscoveryLag is how soon discovery follows the end and the start of a server.
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

// Expectations are what a run is checked for. nil: not checked.
type Expectations struct {
	SettleS         float64  `json:"settled-s"`
	MinTopTypeShare *float64 `json:"top"`
	MinValueShare   *float64 `json:"all"`
	MaxReturnDip    *float64 `json:"dip"`
	MaxWarmUpLoad   *float64 `json:"over"`
	MaxDetectionMs  *float64 `json:"detect-ms"`
	MaxFalseAlarms  *int     `json:"false-alarms"`
}

// Read decodes and validates a file: against the schema, and for what a schema can't express. Each error names a path.
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

// setDefault sets a value that is nil.
func setDefault[T any](p **T, v T) {
	if *p == nil {
		*p = &v
	}
}

// setDefaultNumber sets a number that is zero.
func setDefaultNumber(p *float64, v float64) {
	if *p == 0 {
		*p = v
	}
}

// applyDefaults sets what the file leaves out.
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
	setDefaultNumber(&f.Servers.WorkCV, 0.3)
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
