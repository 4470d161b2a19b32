package controlapi

import (
	"context"
	"log/slog"
	"net"
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

// Listen opens a listener for such a server at "IP:port". TCP keep-alive is off: the server's own
// time-outs close connections to machines that are gone.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(ctx, "tcp4", address)
}

// Serve serves until ctx ends. Then it accepts no more connections, and requests in flight have
// closeTimeout to end. It returns the error of the listener or of the shutdown.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, closeTimeout time.Duration) error {
	server := NewServer(handler)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	err := server.Shutdown(shutdownContext)
	if err != nil {
		_ = server.Close()
	}
	<-serveErr
	return err
}
