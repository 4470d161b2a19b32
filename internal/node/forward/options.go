package forward

import (
	"cmp"
	"log/slog"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/forward/upstream"
	"kestrelspread/internal/node/routing"
)

// Options of a Proxy. Router, Clock, Configuration and MayServe must be set.
type Options struct {
	// Router decides. It is called from many goroutines, so it must be safe for concurrent use.
	Router routing.RequestRouter
	// Clock returns the steady time that Router's decisions refer to.
	Clock func() core.Time
	// Configuration returns the configuration in force; nil: none yet.
	Configuration func() *config.Compiled
	// MayServe reports whether a request may be accepted, and, asked again right before it is
	// forwarded, whether it still may: not without a confirmed configuration, nor where keys can be
	// revoked everywhere and the last confirmation is too old.
	MayServe func(now core.Time, public bool) bool
	// Confirmed reports whether the configuration was confirmed recently enough to say which tenants
	// share cached prefixes; nil: it always was.
	Confirmed func(now core.Time) bool
	// Startup says what the process still lacks after its start; nil: nothing.
	Startup *Startup
	// ProxyCount returns how many proxies share the connections that a broker accepts; nil: this
	// one alone.
	ProxyCount func() int
	// Log defaults to no logging.
	Log    *slog.Logger
	Bounds Bounds
	// Upstream bounds the connections to brokers.
	Upstream upstream.Options
	// Seed makes the choice among the services of a split route differ from fleet to fleet.
	Seed uint64
}

// Bounds limit what requests may use of the process. Zero values take the defaults.
type Bounds struct {
	// MaxBufferedBytes bounds the bodies of requests that are buffered at the same time.
	MaxBufferedBytes int64
	// MaxHeadMemory bounds the memory of clients' heads, one half while they arrive, the other from then to the end of their requests.
	MaxHeadMemory int64
	// MaxClientConnections bounds the connections of clients.
	MaxClientConnections int
	// MaxBufferedAnswerBytes: answers up to this size are read completely before any of it is
	// forwarded, so that a truncated one becomes a clean failure or another attempt.
	MaxBufferedAnswerBytes int
	// AnswerGrace is how long after the deadline an answer is still awaited: brokers answer 504
	// themselves at the deadline.
	AnswerGrace time.Duration
	// DisconnectGrace is how long an answer is awaited whose client has disconnected, where the request
	// must not be repeated.
	DisconnectGrace time.Duration
	// IdempotentDisconnectGrace is the same for idempotent requests. Brokers must have stopped working
	// on these half a second after the disconnect (RULES.md, GONE).
	IdempotentDisconnectGrace time.Duration
	// IdleTimeout and HeaderTimeout apply to clients' connections until a configuration has others.
	IdleTimeout   time.Duration
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time that a body may take to arrive, beside the client's deadline.
	BodyTimeout time.Duration
	// UnreadyRetryAfter is the Retry-After for clients while MayServe forbids to serve.
	UnreadyRetryAfter time.Duration
	// StartupWait bounds how long a request waits for what the process lacks after its start.
	StartupWait time.Duration
	// StartupRetryAfter is the Retry-After for clients whose requests waited for that in vain.
	StartupRetryAfter time.Duration
	// ConnectionShareFactor: a proxy may open this many times its even share of the connections
	// that a broker accepts, since clients are not spread evenly over the proxies.
	ConnectionShareFactor int
}

// Defaults of Bounds.
const (
	DefaultMaxBufferedBytes          = 96 << 20
	DefaultMaxHeadMemory             = 32 << 20
	DefaultMaxClientConnections      = 975
	DefaultMaxHeaderBytes            = 64 << 10 // until a configuration has a bound
	DefaultMaxBufferedAnswerBytes    = 256 << 10
	DefaultAnswerGrace               = 150 * time.Millisecond
	DefaultDisconnectGrace           = 2 * time.Second
	DefaultIdempotentDisconnectGrace = 200 * time.Millisecond
	DefaultIdleTimeout               = 60 * time.Second
	DefaultHeaderTimeout             = 10 * time.Second
	DefaultBodyTimeout               = 30 * time.Second
	DefaultUnreadyRetryAfter         = 200 * time.Millisecond
	DefaultStartupWait               = time.Second
	DefaultStartupRetryAfter         = 600 * time.Millisecond
	DefaultConnectionShareFactor     = 3
)

// withDefaults replaces zero values.
func (b Bounds) withDefaults() Bounds {
	b.MaxBufferedBytes = cmp.Or(b.MaxBufferedBytes, DefaultMaxBufferedBytes)
	b.MaxHeadMemory = cmp.Or(b.MaxHeadMemory, DefaultMaxHeadMemory)
	b.MaxClientConnections = cmp.Or(b.MaxClientConnections, DefaultMaxClientConnections)
	b.MaxBufferedAnswerBytes = cmp.Or(b.MaxBufferedAnswerBytes, DefaultMaxBufferedAnswerBytes)
	b.AnswerGrace = cmp.Or(b.AnswerGrace, DefaultAnswerGrace)
	b.DisconnectGrace = cmp.Or(b.DisconnectGrace, DefaultDisconnectGrace)
	b.IdempotentDisconnectGrace = cmp.Or(b.IdempotentDisconnectGrace, DefaultIdempotentDisconnectGrace)
	b.IdleTimeout = cmp.Or(b.IdleTimeout, DefaultIdleTimeout)
	b.HeaderTimeout = cmp.Or(b.HeaderTimeout, DefaultHeaderTimeout)
	b.BodyTimeout = cmp.Or(b.BodyTimeout, DefaultBodyTimeout)
	b.UnreadyRetryAfter = cmp.Or(b.UnreadyRetryAfter, DefaultUnreadyRetryAfter)
	b.StartupWait = cmp.Or(b.StartupWait, DefaultStartupWait)
	b.StartupRetryAfter = cmp.Or(b.StartupRetryAfter, DefaultStartupRetryAfter)
	b.ConnectionShareFactor = cmp.Or(b.ConnectionShareFactor, DefaultConnectionShareFactor)
	return b
}
