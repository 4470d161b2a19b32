// Package brokercall makes the HTTP clients with which a node's control plane calls model brokers and stores: for reports,
// orders and events. Requests of clients take another way: see package forward.
package brokercall

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ExpectInstanceHeader is the header that has every other broker at an address answer 421. Source: PROTOCOL.md, "Requests".
const ExpectInstanceHeader = "X-Kestrelspread-Expect-Instance"

// Options of a client.
type Options struct {
	// ConnectTimeout bounds how long a connection may take to come up, and how long sent data may stay unacknowledged.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection is kept for the next call to the same address: new ones are priced.
	IdleTimeout time.Duration
}

// NewClient returns a client that follows no redirects and keeps one idle connection for each address. Its connections lose
// what is not yet sent when they are closed, so that a call that was given up does not arrive later.
func NewClient(options Options) *http.Client {
	dialer := &net.Dialer{Timeout: options.ConnectTimeout, Control: withUserTimeout(options.ConnectTimeout)}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialDiscardingOnClose(dialer),
			IdleConnTimeout:     options.IdleTimeout,
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewRequest builds a call; instance is the broker expected at the address, empty for stores.
func NewRequest(ctx context.Context, method, address, path, instance string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	if instance != "" {
		request.Header.Set(ExpectInstanceHeader, instance)
	}
	return request, nil
}

// Discard reads the rest of a body of at most `most` bytes, so that its connection can be used again, and closes it.
func Discard(body io.ReadCloser, maxBytes int64) {
	_, _ = io.CopyN(io.Discard, body, maxBytes)
	_ = body.Close()
}

// withUserTimeout has a connection fail whose peer is silently gone, also while data waits.
func withUserTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			milliseconds := int(limit.Milliseconds())
			failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
		})
		return errors.Join(err, failed)
	}
}

func dialDiscardingOnClose(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := connection.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				return nil, errors.Join(err, connection.Close())
			}
		}
		return connection, nil
	}
}
