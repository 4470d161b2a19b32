package fleetoperator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// callTimeout bounds the wait for an answer of a node.
	callTimeout = time.Second
	// The backoff after an answer that is not final doubles from the first to the maximum.
	firstBackoff = 25 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// maxRedirects bounds the redirects of one call.
	maxRedirects = 2
	// maxUnexpectedAnswers is how many answers with an unexpected 4xx end a call.
	maxUnexpectedAnswers = 3
	maxAnswerBytes       = 64 << 20
)

const headerBaseVersion = "X-Kestrelspread-Base-Version"

// call is one call of the API.
type call struct {
	method string
	path   string
	base   *uint64
	body   []byte
}

// answer is the final answer of a node.
type answer struct {
	status int
	body   []byte
}

// sender makes calls by PROTOCOL.md.
type sender struct {
	control func() []string
	client  *http.Client
}

// newSender finds nodes at the addresses that control returns.
func newSender(control func() []string) sender {
	return sender{control: control, client: &http.Client{
		Timeout: callTimeout,
		// On a kept connection the transport may send a call a second time by itself.
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > maxRedirects {
				return errors.New("redirected too often")
			}
			return nil
		},
	}}
}

// send calls one node after another until one gives a final answer, or ctx ends.
func (s *sender) send(ctx context.Context, c call) (answer, error) {
	backoff := firstBackoff
	unexpected := 0
	for {
		given, err := s.attempt(ctx, c)
		switch {
		case err == nil && given.status/100 == 2:
			return given, nil
		case err == nil && isFinal(given.status):
			return given, nil
		case err == nil && given.status/100 == 4 && !isRetryable(given.status):
			if unexpected++; unexpected == maxUnexpectedAnswers {
				return given, nil
			}
		}
		if !sleep(ctx, backoff) {
			return given, errors.Join(err, ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isFinal reports whether a status rejects a change for good.
func isFinal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// isRetryable reports whether a 4xx only asks for a retry at another node.
func isRetryable(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
}

// attempt makes a call to a random node once.
func (s *sender) attempt(ctx context.Context, c call) (answer, error) {
	addresses := s.control()
	if len(addresses) == 0 {
		return answer{}, errors.New("no node serves control")
	}
	address := addresses[rand.IntN(len(addresses))]
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	if c.base != nil {
		request.Header.Set(headerBaseVersion, strconv.FormatUint(*c.base, 10))
	}
	given, err := s.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = given.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(given.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, err
	}
	return answer{status: given.StatusCode, body: body}, nil
}

// sleep waits, and reports whether ctx has not ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
