package llmbroker

import "time"

// Options describe one broker.
type Options struct {
	Service     string
	Zone        string
	Listen      string // "IP:port"; port 0: a free one
	Slots       int    // requests that run concurrently
	QueueLength int    // requests that wait for a slot
	// MaxConnections bounds the connections; more are reset. 0: no limit.
	MaxConnections int
	// ReportsLoad adds X-Kestrelspread-Server-Load to answers.
	ReportsLoad       bool
	HealthCheck       string        // path; default "/healthz"
	ServiceTime       time.Duration // of a request of a plain service
	Engine            *Engine       // nil: a plain service
	HeartbeatInterval time.Duration // between two heartbeats; default 1.2 s
	// ControlAddresses returns the control addresses of the nodes.
	ControlAddresses func() []string
	// ReachedAt returns the address at which a node's control address is reached from the broker; nil: that address itself.
	ReachedAt func(address string) string
	// DrainTime is how long the broker serves after its drain was acknowledged; default 2 s.
	DrainTime time.Duration
	Log       *ArrivalLog
}

// Engine is the engine of a model broker.
type Engine struct {
	Weights *Weights
	Model   string
	// Version is the version of the weights at the start; 0: the newest.
	Version uint64
	// FirstEventDelay is the time to the first event, without prefill.
	FirstEventDelay time.Duration
	// PrefillTokensPerMs is the rate of prefill; default 100.
	PrefillTokensPerMs float64
	EventInterval      time.Duration // between two events
	LoadTime           time.Duration // of new weights
	// Fencing has orders with a lower fencing token than an accepted one rejected.
	Fencing          bool
	KVCapacityTokens int // default 100,000
	MaxConcurrency   int // of calls of the KV cache API; default 12
}

const (
	defaultHealthCheck        = "/healthz"
	defaultHeartbeat          = 1200 * time.Millisecond
	defaultDrain              = 2 * time.Second
	defaultPrefillTokensPerMs = 100
	defaultCapacity           = 100_000
	defaultMaxConcurrency     = 12
)

// withDefaults sets what is left out.
func (o Options) withDefaults() Options {
	if o.HealthCheck == "" {
		o.HealthCheck = defaultHealthCheck
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = defaultHeartbeat
	}
	if o.DrainTime <= 0 {
		o.DrainTime = defaultDrain
	}
	if o.Log == nil {
		o.Log = NewArrivalLog()
	}
	if o.ReachedAt == nil {
		o.ReachedAt = func(address string) string { return address }
	}
	if o.ControlAddresses == nil {
		o.ControlAddresses = func() []string { return nil }
	}
	if o.Engine != nil {
		engine := o.Engine.withDefaults()
		o.Engine = &engine
	}
	return o
}

// withDefaults sets what is left out.
func (e Engine) withDefaults() Engine {
	if e.PrefillTokensPerMs <= 0 {
		e.PrefillTokensPerMs = defaultPrefillTokensPerMs
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
