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
	// silence is how long a node may say nothing.
	silence = time.Second
	// The pause after a round without a clear answer grows from the first to the last.
	firstPause = 25 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// mostRedirects is how often a 307 is followed.
	mostRedirects = 2
	// mostOddAnswers is at which 4xx in a row a call is given up that is not turned down by its status alone.
	mostOddAnswers = 3
	maxAnswerBytes = 64 << 20
)

const headerBaseVersion = "X-Kestrelspread-Base-Version"

// call is one order of the operator.
type call struct {
	method string
	path   string
	base   *uint64
	body   []byte
}

// answer is what a node said in the end.
type answer struct {
	status int
	body   []byte
}

// sender makes calls as PROTOCOL.md says.
type sender struct {
	control func() []string
	client  *http.Client
}

func newSender(control func() []string) sender {
	return sender{control: control, client: &http.Client{
		Timeout:   silence,
		Transport: &http.Transport{IdleConnTimeout: 5 * time.Second},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > mostRedirects {
				return errors.New("redirected too often")
			}
			return nil
		},
	}}
}

// send makes a call to one node after the other until one gives a clear answer, or ctx ends.
func (s *sender) send(ctx context.Context, c call) (answer, error) {
	wait := firstPause
	odd := 0
	for {
		given, err := s.once(ctx, c)
		switch {
		case err == nil && given.status/100 == 2:
			return given, nil
		case err == nil && endsCall(given.status):
			return given, nil
		case err == nil && given.status/100 == 4 && !tryElsewhere(given.status):
			if odd++; odd == mostOddAnswers {
				return given, nil
			}
		}
		if !sleep(ctx, wait) {
			return given, errors.Join(err, ctx.Err())
		}
		wait = min(2*wait, lastPause)
	}
}

// endsCall reports whether a status ends a call at once.
func endsCall(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

// tryElsewhere reports whether a 4xx says no more than that another node is to be asked.
func tryElsewhere(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
}

func (s *sender) once(ctx context.Context, c call) (answer, error) {
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

// sleep waits, and reports whether ctx still holds.
func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
