package forward

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/forward/upstream"
)

// Proxy serves clients' requests. It implements http.Handler; Serve runs its own HTTP server, which
// also checks the framing on the connections.
type Proxy struct {
	options      Options
	bounds       Bounds
	pool         *upstream.Pool
	match        matcher
	server       *http.Server
	log          *limitedLog
	clientLimits *clientLimits
	draining     atomic.Bool
	rejectingNew atomic.Bool
	buffered     atomic.Int64 // bytes of requests' bodies
	counters     counters
}

// New returns a proxy that accepts no requests yet.
func New(options Options) *Proxy {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	proxy := &Proxy{
		options: options,
		bounds:  options.Bounds.withDefaults(),
		pool:    upstream.NewPool(options.Upstream),
		match:   matchRoute,
		log:     newLimitedLog(options.Log),
	}
	proxy.clientLimits = proxy.newClientLimits()
	proxy.server = proxy.newServer()
	return proxy
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.counters.requests.Add(1)
	c := &call{proxy: p, writer: w, request: r, client: clientConnOf(r.Context())}
	c.intake.received = p.options.Clock()
	c.startedAt = time.Now() // after received, so that no socket's deadline passes before the request's
	defer c.finish()
	if c.accept() {
		c.run()
	}
}

// mayServe reports whether a request may be accepted, or forwarded, now.
func (p *Proxy) mayServe(now core.Time, public bool) bool { return p.options.MayServe(now, public) }

// confirmed reports whether the configuration says which tenants share cached prefixes.
func (p *Proxy) confirmed(now core.Time) bool {
	return p.options.Confirmed == nil || p.options.Confirmed(now)
}

// connectionShare returns how many connections to one broker of the service this proxy may open; 0:
// no bound.
func (p *Proxy) connectionShare(service *config.Service) int {
	if service == nil || service.MaxConnections <= 0 {
		return 0
	}
	proxies := 1
	if p.options.ProxyCount != nil {
		proxies = max(p.options.ProxyCount(), 1)
	}
	share := service.MaxConnections * p.bounds.ConnectionShareFactor / proxies
	return min(max(share, 1), service.MaxConnections)
}
