// Package orders sends the orders of package rollout to model brokers and fetches their reports,
// over HTTP. It decides nothing: which order is due, and what its result means, is the matter of
// rollout.
//
// Invariants: an order is sent at most once, as the HTTP client can't read its body a second time;
// and whether the lease still holds is checked right before the body is written. Source:
// PROTOCOL.md, "Requests".
package orders

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"kestrelspread/internal/node/brokercall"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/netmap"
	"kestrelspread/internal/node/rollout"
)

const (
	// callTimeout bounds a call to a broker, connecting included.
	callTimeout = time.Second
	// idleTimeout is how long a connection to a broker is kept for the next call.
	idleTimeout = 4 * time.Second
	// maxResponseBytes bounds what is read of a response.
	maxResponseBytes = 64 << 10

	orderPath  = "/kestrelspread/order"
	reportPath = "/kestrelspread/report"
)

var (
	errNoResponse = errors.New("rollout: order not answered")
	errNoReport   = errors.New("rollout: no report")
)

// Options are what a Sender needs. The callbacks run on goroutines of the Sender, one of them once
// for each call.
type Options struct {
	// Clock is the steady clock that core.SendOrder.ValidUntil is compared with.
	Clock func() core.Time
	// NetworkMap rewrites the addresses of brokers; the zero value rewrites none.
	NetworkMap netmap.Map
	// OrderDone takes the HTTP status of an order. A rollout.ErrNotSent says that
	// the broker can't have taken it; after any other error it may have.
	OrderDone func(token uint64, status int, err error)
	// ReportDone takes a report, or the error why there is none.
	ReportDone func(token uint64, report *rollout.Report, err error)
}

// Sender calls model brokers. It is safe for concurrent use.
type Sender struct {
	options Options
	client  *http.Client
}

// New returns a Sender. Close closes its idle connections.
func New(options Options) *Sender {
	client := brokercall.NewClient(brokercall.Options{ConnectTimeout: callTimeout, IdleTimeout: idleTimeout, NetworkMap: options.NetworkMap})
	return &Sender{options: options, client: client}
}

// Close closes the idle connections. Calls in flight go on until their time-out.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// SendOrder sends an order on a goroutine of its own; OrderDone takes the result. Right before the
// body is written, the order must still be valid and allowed must report true; nil allows always.
func (s *Sender) SendOrder(order core.SendOrder, allowed func(core.SendOrder) bool) {
	go func() {
		status, err := s.sendOrder(order, allowed)
		s.options.OrderDone(order.Token, status, err)
	}()
}

// FetchReport fetches a report on a goroutine of its own; ReportDone takes the result.
func (s *Sender) FetchReport(fetch core.FetchReport) {
	go func() {
		report, err := s.fetchReport(fetch)
		s.options.ReportDone(fetch.Token, report, err)
	}()
}

func (s *Sender) sendOrder(order core.SendOrder, allowed func(core.SendOrder) bool) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := &guardedBody{
		reader: bytes.NewReader(order.Body),
		allowed: func() bool {
			return s.options.Clock() < order.ValidUntil && (allowed == nil || allowed(order))
		},
	}
	request, err := brokercall.NewRequest(ctx, http.MethodPost, order.Address, orderPath, order.InstanceID, body)
	if err != nil {
		return 0, fmt.Errorf("%w: build the order to broker %s: %w", rollout.ErrNotSent, order.InstanceID, err)
	}
	request.ContentLength = int64(len(order.Body))
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, orderError(err, order, body)
	}
	brokercall.Discard(response.Body, maxResponseBytes)
	return response.StatusCode, nil
}

// orderError classifies a failed call: whose body was never read for writing was certainly not
// sent.
func orderError(err error, order core.SendOrder, body *guardedBody) error {
	if !body.checked.Load() {
		return fmt.Errorf("%w: send the order to broker %s: %w", rollout.ErrNotSent, order.InstanceID, err)
	}
	return fmt.Errorf("%w: send the order to broker %s: %w", errNoResponse, order.InstanceID, err)
}

func (s *Sender) fetchReport(fetch core.FetchReport) (*rollout.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := brokercall.NewRequest(ctx, http.MethodGet, fetch.Address, reportPath, fetch.InstanceID, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: build the report call to broker %s: %w", errNoReport, fetch.InstanceID, err)
	}
	report := &rollout.Report{}
	if err := brokercall.FetchJSON(s.client, request, maxResponseBytes, report); err != nil {
		return nil, fmt.Errorf("%w: report of broker %s: %w", errNoReport, fetch.InstanceID, err)
	}
	return report, nil
}
