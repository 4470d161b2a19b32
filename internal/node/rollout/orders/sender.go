// Package orders sends orders to model brokers and asks their reports, for package rollout.
//
// Each call is made once: an order is never repeated by the client library, and whether it may still leave is checked right before
// its first byte is written. Source: PROTOCOL.md, "Requests".
package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/rollout"
)

const (
	// callTimeout is how long a call to a broker may take, connecting included.
	callTimeout = time.Second
	// idleTimeout is how long a connection to a broker is kept for the next call.
	idleTimeout = 4 * time.Second
	// maxReportBytes bounds what is read of a report.
	maxReportBytes = 64 << 10

	expectInstance = "X-Kestrelspread-Expect-Instance"
	orderPath      = "/kestrelspread/order"
	reportPath     = "/kestrelspread/report"
)

// Options are what a Sender needs. The two callbacks run on goroutines of the Sender, once for each call.
type Options struct {
	Clock    func() core.Time
	Ordered  func(token uint64, status int, err error)
	Reported func(token uint64, report *rollout.Report, err error)
}

// Sender makes the calls.
type Sender struct {
	options Options
	client  *http.Client
}

// New returns a Sender; Close ends its idle connections.
func New(options Options) *Sender {
	dialer := &net.Dialer{Timeout: callTimeout, Control: setUserTimeout}
	transport := &http.Transport{
		DialContext:         dropOnClose(dialer),
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Sender{options: options, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Close ends the connections that are idle.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// Order sends an order on a goroutine of its own. allowed is asked right before the first byte is written; nil: always.
func (s *Sender) Order(order core.Order, allowed func(core.Order) bool) {
	go func() {
		status, err := s.post(order, allowed)
		s.options.Ordered(order.Token, status, err)
	}()
}

// AskReport asks for a report on a goroutine of its own.
func (s *Sender) AskReport(ask core.AskReport) {
	go func() {
		report, err := s.get(ask)
		s.options.Reported(ask.Token, report, err)
	}()
}

func (s *Sender) post(order core.Order, allowed func(core.Order) bool) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := &guardedBody{
		reader: bytes.NewReader(order.Body),
		may: func() bool {
			return s.options.Clock() < order.ValidUntil && (allowed == nil || allowed(order))
		},
	}
	request, err := newRequest(ctx, http.MethodPost, order.Address, orderPath, order.InstanceID, body)
	if err != nil {
		return 0, rollout.ErrNotSent.Wrap(err, "build the order")
	}
	request.ContentLength = int64(len(order.Body))
	request.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(request)
	if err != nil {
		return 0, orderError(err, body)
	}
	discard(answer.Body)
	return answer.StatusCode, nil
}

// orderError tells apart what certainly was not sent.
func orderError(err error, body *guardedBody) error {
	if !body.passed.Load() {
		return rollout.ErrNotSent.Wrap(err, "send the order")
	}
	return errUnanswered.Wrap(err, "send the order")
}

func (s *Sender) get(ask core.AskReport) (*rollout.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := newRequest(ctx, http.MethodGet, ask.Address, reportPath, ask.InstanceID, nil)
	if err != nil {
		return nil, errReport.Wrap(err, "build the call")
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return nil, errReport.Wrap(err, "ask for the report")
	}
	defer discard(answer.Body)
	if answer.StatusCode != http.StatusOK {
		return nil, errReport.New("status %d", answer.StatusCode)
	}
	report := &rollout.Report{}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxReportBytes)).Decode(report); err != nil {
		return nil, errReport.Wrap(err, "read the report")
	}
	return report, nil
}

var (
	errUnanswered = rollout.Errors.NewType("unanswered")
	errReport     = rollout.Errors.NewType("no_report")
)

func newRequest(ctx context.Context, method, address, path, instance string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(expectInstance, instance)
	return request, nil
}

// discard reads the rest of a short body, so that its connection can be used again.
func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxReportBytes)
	_ = body.Close()
}

// dropOnClose makes connections lose what is not yet sent when they are closed: an order that is given up must not arrive later.
func dropOnClose(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
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
