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
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 64 << 10

	orderPath  = "/kestrelspread/order"
	reportPath = "/kestrelspread/report"
)

var (
	errUnanswered = rollout.Errors.NewType("unanswered")
	errReport     = rollout.Errors.NewType("no_report")
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
	client := brokercall.NewClient(brokercall.Options{Connect: callTimeout, Idle: idleTimeout})
	return &Sender{options: options, client: client}
}

// Close ends the connections that are idle.
func (s *Sender) Close() { s.client.CloseIdleConnections() }

// Order sends an order on a goroutine of its own. allowed is asked right before its body is written; nil: always.
func (s *Sender) Order(order core.SendOrder, allowed func(core.SendOrder) bool) {
	go func() {
		status, err := s.post(order, allowed)
		s.options.Ordered(order.Token, status, err)
	}()
}

// AskReport asks for a report on a goroutine of its own.
func (s *Sender) AskReport(ask core.FetchReport) {
	go func() {
		report, err := s.get(ask)
		s.options.Reported(ask.Token, report, err)
	}()
}

func (s *Sender) post(order core.SendOrder, allowed func(core.SendOrder) bool) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := &guardedBody{
		reader: bytes.NewReader(order.Body),
		may: func() bool {
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
	brokercall.Discard(answer.Body, maxAnswerBytes)
	return answer.StatusCode, nil
}

// orderError tells apart what certainly was not sent.
func orderError(err error, body *guardedBody) error {
	if !body.passed.Load() {
		return rollout.ErrNotSent.Wrap(err, "send the order")
	}
	return errUnanswered.Wrap(err, "send the order")
}

func (s *Sender) get(ask core.FetchReport) (*rollout.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := brokercall.NewRequest(ctx, http.MethodGet, ask.Address, reportPath, ask.InstanceID, nil)
	if err != nil {
		return nil, errReport.Wrap(err, "build the call")
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return nil, errReport.Wrap(err, "ask")
	}
	defer brokercall.Discard(answer.Body, maxAnswerBytes)
	if answer.StatusCode != http.StatusOK {
		return nil, errReport.New("status %d", answer.StatusCode)
	}
	report := &rollout.Report{}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(report); err != nil {
		return nil, errReport.Wrap(err, "read")
	}
	return report, nil
}
