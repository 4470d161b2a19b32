package config

// The items of a configuration as operators send them. Source: PROTOCOL.md, "The operator's API".
// Fields that have no meaning here are kept with the item and ignored.

// RouteKind classifies a route by whether its requests may be repeated.
type RouteKind string

// The kinds of routes.
const (
	KindSafe      RouteKind = "safe"      // idempotent
	KindUnsafe    RouteKind = "unsafe"    // not idempotent
	KindStreaming RouteKind = "streaming" // idempotent if the route is resumable
)

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name            string            `json:"name"`
	Host            string            `json:"host"`
	PathPrefix      string            `json:"pathPrefix"`
	Kind            RouteKind         `json:"kind"`
	TimeoutMs       float64           `json:"timeoutMs"`       // of a request, in ms
	TargetLatencyMs float64           `json:"targetLatencyMs"` // latency target, in ms
	Priority        int               `json:"priority"`        // 0 is the most urgent
	Service         string            `json:"service,omitempty"`
	TrafficSplit    []WeightedService `json:"trafficSplit,omitempty"`
	MaxAttempts     int               `json:"maxAttempts"`
	Public          bool              `json:"public"`
	Sticky          bool              `json:"sticky"`
	Resumable       bool              `json:"resumable"`
	GapTargetMs     float64           `json:"gap_aim_ms"` // target of the longest gap within a stream, in ms; 0: none
}

// Idempotent reports whether one client request of the route may run more than once (RULES.md,
// "Words").
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// WeightedService is a service with its weight among those of a route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of model brokers or, where KVStoreAddr is set, a store of prefix caches.
type Service struct {
	Name             string  `json:"name"`
	HealthCheck      string  `json:"healthCheck"`
	MaxConnections   int     `json:"maxConnections"`
	Protocol         string  `json:"protocol"`
	TLS              bool    `json:"tls"`
	Engine           *Engine `json:"engine,omitempty"`
	KVStoreAddr      string  `json:"kvStoreAddr,omitempty"`
	Zone             string  `json:"zone,omitempty"`
	KVCapacityTokens float64 `json:"kvCapacityTokens,omitempty"`
	LinkMbps         float64 `json:"linkMbps,omitempty"`
	MaxConcurrency   int     `json:"maxConcurrency,omitempty"`
}

// Engine describes the model brokers of a service.
type Engine struct {
	Slots            int           `json:"slots"`
	KVCapacityTokens float64       `json:"kvCapacityTokens"`
	KVTokenBytes     float64       `json:"kvTokenBytes"`
	LinkMbps         float64       `json:"linkMbps"`
	Stride           int           `json:"stride"`
	MaxConcurrency   int           `json:"maxConcurrency"`
	Models           []EngineModel `json:"models"`
}

// EngineModel is a model that the brokers of a service run.
type EngineModel struct {
	Name string `json:"name"`
}

// Limits bound what a client may send, and how long it may take or stay idle.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes"`
	MaxBodyBytes    int64   `json:"maxBodyBytes"`
	HeaderTimeoutMs float64 `json:"headerTimeoutMs"`
	IdleTimeoutMs   float64 `json:"idleTimeoutMs"`
}

// Tenant is a customer with API keys.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority *int     `json:"priority,omitempty"` // overrides the route's; nil: not set
	Isolated bool     `json:"isolated"`
}
