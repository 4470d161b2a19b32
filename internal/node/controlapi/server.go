package controlapi

import (
	"log/slog"
	"net/http"
	"time"
)

// Time-outs and bounds of a server, so that unresponsive callers don't hold connections.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second // of a complete request: the largest body over a slow link
	writeTimeout   = 30 * time.Second // of a request and its response
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

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
