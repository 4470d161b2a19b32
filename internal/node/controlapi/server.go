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
	server.ConnState = connlimit.ConnState
	limiter := connlimit.New(readinessMaxConnections, func() time.Duration { return idleTimeout })
	return server, connlimit.NewListener(listener, limiter)
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
