// Package orders sends orders to model brokers and asks their reports, for package rollout.
//
// Each order is sent once: the client library never repeats it, and whether it may still leave is checked right before its body
// is written. Source: PROTOCOL.md, "Requests".
package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"kestrelspread/internal/node/brokercall"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/rollout"
)

const (
	// callTimeout is how long a call to a broker may take, connecting included.
	callTimeout = time.Second
	// idleTimeout is how long a connection to a broker is kept for the next call.
	idleTimeout = 4 * time.Second
	// maxResponseBytes bounds what is read of an answer.
	maxResponseBytes = 64 << 10

	orderPath  = "/kestrelspread/order"
	reportPath = "/kestrelspread/report"
)

var (
	errNoResponse = rollout.Errors.NewType("unanswered")
	errNoReport   = rollout.Errors.NewType("no_report")
)

// Options are what a Sender needs. The two callbacks run on goroutines of the Sender, once for each call.
type Options struct {
	Clock      func() core.Time
	OrderDone  func(token uint64, status int, err error)
	ReportDone func(token uint64, report *rollout.Report, err error)
}

// Sender makes the calls.
type Sender struct {
	options Options
	client  *http.Client
}

// New returns a Sender; Close ends its idle connections.
func New(options Options) *Sender {
	client := brokercall.NewClient(brokercall.Options{ConnectTimeout: callTimeout, IdleTimeout: idleTimeout})
	return &Sender{options: options, client: client}
}

// Close ends the connections that are idle.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// SendOrder sends an order on a goroutine of its own. allowed is asked right before its body is written; nil: always.
func (s *Sender) SendOrder(order core.Order, allowed func(core.Order) bool) {
	go func() {
		status, err := s.sendOrder(order, allowed)
		s.options.OrderDone(order.Token, status, err)
	}()
}

// RequestReport asks for a report on a goroutine of its own.
func (s *Sender) RequestReport(ask core.AskReport) {
	go func() {
		report, err := s.fetchReport(ask)
		s.options.ReportDone(ask.Token, report, err)
	}()
}

func (s *Sender) sendOrder(order core.Order, allowed func(core.Order) bool) (int, error) {
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
		return 0, rollout.ErrNotSent.Wrap(err, "build the order")
	}
	request.ContentLength = int64(len(order.Body))
	request.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(request)
	if err != nil {
		return 0, orderError(err, body)
	}
	brokercall.Discard(answer.Body, maxResponseBytes)
	return answer.StatusCode, nil
}

// orderError tells apart what certainly was not sent.
func orderError(err error, body *guardedBody) error {
	if !body.checked.Load() {
		return rollout.ErrNotSent.Wrap(err, "send the order")
	}
	return errNoResponse.Wrap(err, "send the order")
}

func (s *Sender) fetchReport(ask core.AskReport) (*rollout.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := brokercall.NewRequest(ctx, http.MethodGet, ask.Address, reportPath, ask.InstanceID, nil)
	if err != nil {
		return nil, errNoReport.Wrap(err, "build the call")
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return nil, errNoReport.Wrap(err, "ask")
	}
	defer brokercall.Discard(answer.Body, maxResponseBytes)
	if answer.StatusCode != http.StatusOK {
		return nil, errNoReport.New("status %d", answer.StatusCode)
	}
	report := &rollout.Report{}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxResponseBytes)).Decode(report); err != nil {
		return nil, errNoReport.Wrap(err, "read")
	}
	return report, nil
}
