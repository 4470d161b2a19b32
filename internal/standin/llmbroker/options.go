package llmbroker

import "time"

// Options describe one broker.
type Options struct {
	Service string
	Zone    string
	Listen  string // "IP:port"; port 0: a free one
	Slots   int    // requests that run at once
	Queue   int    // requests that wait
	// MaxConnections is how many connections are held; those beyond are reset. 0: any number.
	MaxConnections int
	// TellsLoad adds X-Kestrelspread-Server-Load to answers.
	TellsLoad   bool
	HealthCheck string        // path; default "/healthz"
	Work        time.Duration // that a request of a plain service takes
	Engine      *Engine       // nil: a plain service
	Heartbeat   time.Duration // between two heartbeats; default 1.2 s
	// Control gives the control addresses of nodes that heartbeats may go to.
	Control func() []string
	// Drain is how long the broker serves on after its draining was acknowledged; default 2 s.
	Drain  time.Duration
	Ledger *Ledger
}

// Engine is what a broker runs a model on.
type Engine struct {
	Weights *Weights
	Model   string
	// Version is that of a broker that is started again; 0: the newest.
	Version uint64
	// FirstEvent is the time to an answer's first event, beside the reading of its prompt.
	FirstEvent time.Duration
	// PromptRate is how many tokens of a prompt are read in a millisecond; default 100.
	PromptRate float64
	EventPause time.Duration // between two events
	Load       time.Duration // that new weights take
	// Fencing: orders with a fence below one seen are refused.
	Fencing          bool
	KVCapacityTokens int // default 100,000
	MaxConcurrency   int // of calls for events; default 12
}

const (
	defaultHealthCheck    = "/healthz"
	defaultHeartbeat      = 1200 * time.Millisecond
	defaultDrain          = 2 * time.Second
	defaultPromptRate     = 100
	defaultCapacity       = 100_000
	defaultMaxConcurrency = 12
)

func (o Options) withDefaults() Options {
	if o.HealthCheck == "" {
		o.HealthCheck = defaultHealthCheck
	}
	if o.Heartbeat <= 0 {
		o.Heartbeat = defaultHeartbeat
	}
	if o.Drain <= 0 {
		o.Drain = defaultDrain
	}
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	if o.Control == nil {
		o.Control = func() []string { return nil }
	}
	if o.Engine != nil {
		engine := o.Engine.withDefaults()
		o.Engine = &engine
	}
	return o
}

func (e Engine) withDefaults() Engine {
	if e.PromptRate <= 0 {
		e.PromptRate = defaultPromptRate
	}
	if e.KVCapacityTokens <= 0 {
		e.KVCapacityTokens = defaultCapacity
	}
	if e.MaxConcurrency <= 0 {
		e.MaxConcurrency = defaultMaxConcurrency
	}
	if e.Weights == nil {
		e.Weights = NewWeights()
	}
	if e.Version == 0 {
		e.Version = e.Weights.Newest(e.Model)
	}
	return e
}
