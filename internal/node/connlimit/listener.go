package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener accepts connections within the bound of a Limiter.
type Listener struct {
	net.Listener
	limiter *Limiter
	closed  chan struct{}
	close   sync.Once
}

// NewListener returns a Listener that admits the connections of another one.
func NewListener(listener net.Listener, limiter *Limiter) *Listener {
	return &Listener{Listener: listener, limiter: limiter, closed: make(chan struct{})}
}

// AcceptConn waits for a place and then for a connection. The returned Conn must be released when the connection is closed.
func (l *Listener) AcceptConn() (net.Conn, *Conn, error) {
	if err := l.reserve(); err != nil {
		return nil, nil, err
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		l.limiter.cancelReservation()
		return nil, nil, err
	}
	return connection, l.limiter.add(connection), nil
}

// reserve waits for a place.
func (l *Listener) reserve() error {
	if l.limiter.tryReserve() {
		return nil
	}
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for !l.limiter.tryReserve() {
		select {
		case <-l.limiter.room:
		case <-ticker.C:
		case <-l.closed:
			return net.ErrClosed
		}
	}
	return nil
}

// Accept implements net.Listener, for servers whose connections report their states by ConnState.
func (l *Listener) Accept() (net.Conn, error) {
	connection, place, err := l.AcceptConn()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: connection, place: place}, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection of Accept.
type limitedConn struct {
	net.Conn
	place *Conn
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.place.Release()
	return c.Conn.Close()
}

// ConnState follows the states of connections of Accept; it is for http.Server.ConnState.
func ConnState(connection net.Conn, state http.ConnState) {
	if limited, ok := connection.(*limitedConn); ok {
		limited.place.follow(state)
	}
}

// follow records a state of net/http's.
func (c *Conn) follow(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.SetState(Serving)
	case http.StateIdle:
		c.SetState(Idle)
	case http.StateClosed, http.StateHijacked:
		c.Release()
	}
}
