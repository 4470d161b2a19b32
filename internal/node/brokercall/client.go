// Package brokercall makes the HTTP clients with which a node's control plane calls model brokers
// and stores: for reports, orders and events. Requests of clients don't use it: see package
// forward.
//
// Invariant: a call that was given up doesn't arrive later, as its connection discards unsent data
// when it is closed.
package brokercall

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"kestrelspread/internal/node/netmap"
	"kestrelspread/internal/node/sockopt"
)

// ExpectInstanceHeader names the broker that a call is for: any other one at the address answers
// 421. Source: PROTOCOL.md, "Requests".
const ExpectInstanceHeader = "X-Kestrelspread-Expect-Instance"

// Options of a client.
type Options struct {
	// ConnectTimeout bounds how long a connection may take to be established, and how long sent
	// data may stay unacknowledged.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept for the next call to the same address. New
	// connections have a price.
	IdleTimeout time.Duration
	// NetworkMap rewrites the addresses that are dialed; the zero value rewrites none.
	NetworkMap netmap.Map
}

// NewClient returns a client that follows no redirects and keeps one idle connection for each
// address. Its connections discard unsent data when they are closed.
func NewClient(options Options) *http.Client {
	dialer := &net.Dialer{Timeout: options.ConnectTimeout, Control: withUserTimeout(options.ConnectTimeout)}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialDiscardingOnClose(dialer, options.NetworkMap),
			IdleConnTimeout:     options.IdleTimeout,
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NewRequest builds a request. instance is the broker expected at the address; empty for stores.
func NewRequest(ctx context.Context, method, address, path, instance string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, fmt.Errorf("brokercall: %s %s at %s: %w", method, path, address, err)
	}
	if instance != "" {
		request.Header.Set(ExpectInstanceHeader, instance)
	}
	return request, nil
}

// FetchJSON makes a call and decodes the JSON of its response, of which it reads at most maxBytes,
// into result. The error names the operation; any status but 200 is one.
func FetchJSON(client *http.Client, request *http.Request, maxBytes int64, result any) error {
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("fetch: %w", err)
	}
	defer Discard(response.Body, maxBytes)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fetch: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBytes)).Decode(result); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// Discard closes a body after reading up to maxBytes of its rest, so that the connection can be
// reused.
func Discard(body io.ReadCloser, maxBytes int64) {
	_, _ = io.CopyN(io.Discard, body, maxBytes)
	_ = body.Close()
}

// withUserTimeout has a connection fail after limit (whole milliseconds) if its peer acknowledges
// nothing any more, also while sent data waits. See tcp(7), TCP_USER_TIMEOUT.
func withUserTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return sockopt.SetUserTimeout(raw, limit)
	}
}

// dialDiscardingOnClose dials connections that discard unsent data on close.
func dialDiscardingOnClose(dialer *net.Dialer, networkMap netmap.Map) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, networkMap.Rewrite(address))
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
