package controlapi

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"kestrelspread/internal/node/connlimit"
)

// Time-outs and bounds of a server, so that unresponsive callers don't hold connections.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second // of a complete request: the largest body over a slow link
	writeTimeout   = 30 * time.Second // of a request and its response
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// Time-outs and bounds of the server for readiness checks, which come once a second and are a few lines long. Anybody may connect.
const (
	readinessTimeout        = 2 * time.Second // of a request, and of a request and its response
	readinessMaxHeaderBytes = 4 << 10
	readinessMaxConnections = 32
)

// NewReadinessServer returns a server for readiness checks, and the listener that it must serve, which bounds the connections of another.
func NewReadinessServer(listener net.Listener, ready func() bool) (*http.Server, net.Listener) {
	server := NewServer(ReadinessHandler(ready))
	server.ReadHeaderTimeout, server.ReadTimeout, server.WriteTimeout = readinessTimeout, readinessTimeout, readinessTimeout
	server.MaxHeaderBytes = readinessMaxHeaderBytes
	return server, limitConnections(server, listener, readinessMaxConnections)
}

// NewControlServer returns a server for a control address, and the listener that it must serve: one that bounds the connections of another.
// Beyond the bound silent connections give way first, then heads without end and connections without a call; a call under way never does.
func NewControlServer(listener net.Listener, handler http.Handler, maxConnections int) (*http.Server, net.Listener) {
	server := NewServer(handler)
	return server, limitConnections(server, listener, maxConnections)
}

// limitConnections bounds the connections that a server has of a listener.
func limitConnections(server *http.Server, listener net.Listener, maxConnections int) net.Listener {
	server.ConnState = connlimit.ConnState
	limiter := connlimit.New(maxConnections, func() time.Duration { return idleTimeout })
	return connlimit.NewListener(listener, limiter)
}

// NewServer returns a server for a handler of this package.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
	}
}
