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

// Options are what a Proxy needs. Port, Clock, Config and MayServe must be set.
type Options struct {
	// Router decides; its calls come from many goroutines, so it must be serialised already.
	Router routing.Port
	// Clock gives the steady time that Port's decisions refer to.
	Clock func() core.Time
	// Configuration gives the configuration in force; nil: none yet.
	Configuration func() *config.Compiled
	// MayServe says whether a request may be taken, and, asked again right before it is sent on, whether it still may:
	// not without a confirmed configuration, nor where keys can be revoked everywhere and the last confirmation is too old.
	MayServe func(now core.Time, public bool) bool
	// Startup tells what the process still lacks after its start; nil: nothing.
	Startup *Startup
	// ProxyCount tells how many proxies share the connections that a broker accepts; nil: this one alone.
	ProxyCount func() int
	Log        *slog.Logger
	Bounds     Bounds
	// Upstream bounds the connections to brokers.
	Upstream upstream.Options
	// Seed spreads requests over the services of a split route differently from fleet to fleet.
	Seed uint64
}

// Bounds limit what requests may take of the process. Zero values take the defaults.
type Bounds struct {
	// MaxBufferedBytes bounds the bodies of requests held at the same time.
	MaxBufferedBytes int64
	// MaxBufferedAnswerBytes: answers up to this size are read whole before any of it goes to the client, so that one that is
	// cut short becomes a clean failure or another attempt.
	MaxBufferedAnswerBytes int
	// AnswerGrace is how long after the deadline an answer is still awaited: brokers answer 504 themselves at the deadline.
	AnswerGrace time.Duration
	// DisconnectGrace is how long an answer is awaited whose client has left.
	DisconnectGrace time.Duration
	// IdleTimeout and HeaderTimeout are used for clients' connections until a configuration gives others.
	IdleTimeout   time.Duration
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time that a body may take, beside the client's deadline.
	BodyTimeout time.Duration
	// UnreadyRetryAfter is told to clients while MayServe forbids to serve.
	UnreadyRetryAfter time.Duration
	// StartupWait bounds how long a request waits for what the process lacks after its start.
	StartupWait time.Duration
	// StartupRetryAfter is told to clients whose requests waited for that in vain.
	StartupRetryAfter time.Duration
	// ConnectionShareFactor: a proxy may hold this many times its even share of the connections that a broker accepts, since
	// clients are not spread evenly over the proxies.
	ConnectionShareFactor int
}

// Defaults of Bounds.
const (
	DefaultMaxBufferedBytes       = 96 << 20
	DefaultMaxBufferedAnswerBytes = 256 << 10
	DefaultAnswerGrace            = 150 * time.Millisecond
	DefaultDisconnectGrace        = 2 * time.Second
	DefaultIdleTimeout            = 60 * time.Second
	DefaultHeaderTimeout          = 10 * time.Second
	DefaultBodyTimeout            = 30 * time.Second
	DefaultUnreadyRetryAfter      = 200 * time.Millisecond
	DefaultStartupWait            = time.Second
	DefaultStartupRetryAfter      = 600 * time.Millisecond
	DefaultConnectionShareFactor  = 3
)

func (b Bounds) withDefaults() Bounds {
	b.MaxBufferedBytes = cmp.Or(b.MaxBufferedBytes, DefaultMaxBufferedBytes)
	b.MaxBufferedAnswerBytes = cmp.Or(b.MaxBufferedAnswerBytes, DefaultMaxBufferedAnswerBytes)
	b.AnswerGrace = cmp.Or(b.AnswerGrace, DefaultAnswerGrace)
	b.DisconnectGrace = cmp.Or(b.DisconnectGrace, DefaultDisconnectGrace)
	b.IdleTimeout = cmp.Or(b.IdleTimeout, DefaultIdleTimeout)
	b.HeaderTimeout = cmp.Or(b.HeaderTimeout, DefaultHeaderTimeout)
	b.BodyTimeout = cmp.Or(b.BodyTimeout, DefaultBodyTimeout)
	b.UnreadyRetryAfter = cmp.Or(b.UnreadyRetryAfter, DefaultUnreadyRetryAfter)
	b.StartupWait = cmp.Or(b.StartupWait, DefaultStartupWait)
	b.StartupRetryAfter = cmp.Or(b.StartupRetryAfter, DefaultStartupRetryAfter)
	b.ConnectionShareFactor = cmp.Or(b.ConnectionShareFactor, DefaultConnectionShareFactor)
	return b
}
