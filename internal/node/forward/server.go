package forward

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"kestrelspread/internal/node/config"
)

// maxServerHeaderBytes bounds what net/http reads of a head; the configuration's bound, which is lower, is checked after.
const maxServerHeaderBytes = 1 << 20

// idleMargin is by how much clients may rest longer than the configuration says, as a fraction of the time: they take
// connections up at the last moment, and the bytes need time to come.
const idleMargin = 0.25

// timeoutSlack is added to what clients may take.
const timeoutSlack = time.Second

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

// Serve takes clients' connections until Shutdown. It may be called for more than one listener.
func (p *Proxy) Serve(listener net.Listener) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return errorx.IllegalArgument.New("clients connect over TCP, not %s", listener.Addr().Network())
	}
	err := p.server.Serve(&clientListener{TCPListener: tcp, timeouts: p.clientTimeouts})
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errorx.Decorate(err, "front server")
}

// clientTimeouts gives the times of the configuration in force. They are never shorter than configured (PROTOCOL.md, "The
// operator's API": clients take up connections that have rested for up to four fifths of idleTimeoutMs).
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

func withSlack(limitMs float64) time.Duration {
	return milliseconds(limitMs*(1+idleMargin)) + timeoutSlack
}

// Drain tells every client with its next answer to close the connection. Connections at rest stay open for their clients
// until Shutdown, so that no request is lost that is on its way.
func (p *Proxy) Drain() {
	p.draining.Store(true)
	p.options.Startup.End()
}

// RejectNew turns away requests that come from now on, with a promise that they have not run: too little time is left for them.
// Those under way go on.
func (p *Proxy) RejectNew() {
	p.Drain()
	p.rejectingNew.Store(true)
}

// Shutdown stops taking connections, closes those at rest and waits for the requests under way, while the context lasts.
// Then it closes all.
func (p *Proxy) Shutdown(ctx context.Context) error {
	p.Drain()
	defer p.pool.Close()
	err := p.server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	p.server.Close()
	return errorx.Decorate(err, "requests were under way")
}

// configuration gives the configuration in force; nil: none.
func (p *Proxy) configuration() *config.Compiled { return p.options.Configuration() }
