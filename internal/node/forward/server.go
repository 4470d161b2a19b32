package forward

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/connlimit"
)

// maxServerHeaderBytes bounds what net/http reads of a head. clientConn hands over only heads within the
// configuration's bound, and within this one.
const maxServerHeaderBytes = 1 << 20

// idleMargin is how much longer than configured clients may be idle, as a fraction of that time:
// they reuse connections at the last moment, and the bytes need time to arrive.
const idleMargin = 0.25

// timeoutSlack is added to clients' time-outs.
const timeoutSlack = time.Second

// newServer returns the HTTP server for clients.
func (p *Proxy) newServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:        p,
		Protocols:      protocols,
		MaxHeaderBytes: maxServerHeaderBytes,
		// OPTIONS * is no request for a broker, and a success without a broker's seal must not be answered.
		DisableGeneralOptionsHandler: true,
		ConnContext:                  withClientConn,
		ConnState: func(connection net.Conn, state http.ConnState) {
			if client, ok := connection.(*clientConn); ok {
				client.stateChanged(state)
			}
		},
		ErrorLog: slog.NewLogLogger(p.options.Log.Handler(), slog.LevelWarn),
	}
}

// Serve accepts clients' connections until Shutdown. It may be called for more than one listener,
// which must be of TCP.
func (p *Proxy) Serve(listener net.Listener) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("forward: clients connect over TCP, not %s", listener.Addr().Network())
	}
	err := p.server.Serve(p.clientListener(tcp))
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("front server: %w", err)
}

// newClientLimits returns what the connections of all clients share.
func (p *Proxy) newClientLimits() *clientLimits {
	limits := &clientLimits{
		timeouts: p.clientTimeouts, maxHeadBytes: p.maxHeadBytes, retryAfter: p.bounds.UnreadyRetryAfter, refused: p.countRefusedHead,
	}
	limits.partialHeads.max = p.bounds.MaxHeadMemory / 2
	limits.parsedHeads.max = p.bounds.MaxHeadMemory / 2
	return limits
}

// maxHeadBytes bounds a head, with its request line and line ends.
func (p *Proxy) maxHeadBytes() int {
	limit := DefaultMaxHeaderBytes
	if compiled := p.options.Configuration(); compiled != nil && compiled.Limits.MaxHeaderBytes > 0 {
		limit = compiled.Limits.MaxHeaderBytes
	}
	return min(limit, maxServerHeaderBytes) + headSlackBytes
}

// countRefusedHead counts an answer to a head that net/http has not seen.
func (p *Proxy) countRefusedHead(status int) {
	p.counters.requests.Add(1)
	p.log.warn("forward: head refused", "status", status)
	if status == http.StatusServiceUnavailable {
		p.counters.rejected.Add(1)
		return
	}
	p.counters.denied.Add(1)
}

// clientListener bounds the connections that a listener accepts.
func (p *Proxy) clientListener(listener *net.TCPListener) *clientListener {
	limiter := connlimit.New(p.bounds.MaxClientConnections, func() time.Duration { return p.clientTimeouts().idle })
	return &clientListener{Listener: connlimit.NewListener(listener, limiter), limits: p.clientLimits}
}

// clientTimeouts returns the time-outs of the configuration in force. They are never shorter than
// configured (PROTOCOL.md, "The operator's API": clients reuse connections that were idle for up to
// four fifths of idleTimeoutMs).
func (p *Proxy) clientTimeouts() clientTimeouts {
	times := clientTimeouts{idle: p.bounds.IdleTimeout, header: p.bounds.HeaderTimeout}
	compiled := p.options.Configuration()
	if compiled == nil {
		return times
	}
	if limit := compiled.Limits.IdleTimeoutMs; limit > 0 {
		times.idle = withSlack(limit)
	}
	if limit := compiled.Limits.HeaderTimeoutMs; limit > 0 {
		times.header = withSlack(limit)
	}
	return times
}

// withSlack returns the time-out for a configured limit.
func withSlack(limitMs float64) time.Duration {
	return milliseconds(limitMs*(1+idleMargin)) + timeoutSlack
}

// Drain tells every client with its next answer to close the connection. Idle connections stay open
// until Shutdown, so that no request is lost that is already on its way.
func (p *Proxy) Drain() {
	p.draining.Store(true)
	p.options.Startup.End()
}

// RejectNew rejects requests that arrive from now on, with the promise that they have not run: too
// little time is left for them. Requests in progress continue.
func (p *Proxy) RejectNew() {
	p.Drain()
	p.rejectingNew.Store(true)
}

// Shutdown stops accepting connections, closes idle ones and waits for the requests in progress,
// while the context lasts. Then it closes all. The error says that requests were aborted.
func (p *Proxy) Shutdown(ctx context.Context) error {
	p.Drain()
	defer p.pool.Close()
	err := p.server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	p.server.Close()
	return fmt.Errorf("requests were under way: %w", err)
}

// configuration returns the configuration in force; nil: none.
func (p *Proxy) configuration() *config.Compiled { return p.options.Configuration() }
