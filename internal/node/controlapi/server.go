package controlapi

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// The bounds of a server, which keep callers that fell silent from holding connections.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second // a whole call: the largest body over a slow link
	writeTimeout   = 30 * time.Second // a whole call and its answer
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// NewServer makes a server for a handler of this package.
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

// Listen opens a listener for such a server, at "IP:port". Keep-alive probes are off: the server's own time-outs end
// connections to machines that have gone.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(ctx, "tcp4", address)
}

// Serve serves until ctx ends. Then no new connections are taken, and calls under way have until closeTimeout to end.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, closeTimeout time.Duration) error {
	server := NewServer(handler)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	err := server.Shutdown(closing)
	if err != nil {
		_ = server.Close()
	}
	<-served
	return err
}
