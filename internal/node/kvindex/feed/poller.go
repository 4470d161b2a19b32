// Package feed asks brokers and stores for the events of their kept parts, for package kvindex.
package feed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"kestrelspread/internal/node/brokercall"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
)

const (
	// connectTimeout bounds connecting, and beyond the time that a call may be held its answer.
	connectTimeout = time.Second
	// idleTimeout is how long a connection is kept for the next call, which usually comes within a second.
	idleTimeout = 10 * time.Second
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 4 << 20

	eventsPath = "/kestrelspread/kv-events"
	waitHeader = "Wait-Ms"
)

var errNoEvents = kvindex.Errors.NewType("no_events")

// Poller makes the calls.
type Poller struct {
	done   func(token uint64, events *kvindex.Events, err error)
	client *http.Client
}

// New returns a Poller. done runs on a goroutine of the Poller, once for each call.
func New(done func(token uint64, events *kvindex.Events, err error)) *Poller {
	client := brokercall.NewClient(brokercall.Options{ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout})
	return &Poller{done: done, client: client}
}

// Close ends the connections that are idle.
func (p *Poller) Close() { p.client.CloseIdleConnections() }

// Fetch makes a call on a goroutine of its own.
func (p *Poller) Fetch(ask core.FetchEvents) {
	go func() {
		events, err := p.get(ask)
		p.done(ask.Token, events, err)
	}()
}

func (p *Poller) get(ask core.FetchEvents) (*kvindex.Events, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ask.Wait+connectTimeout)
	defer cancel()
	path := eventsPath + "?since=" + strconv.FormatUint(ask.Since, 10)
	request, err := brokercall.NewRequest(ctx, http.MethodGet, ask.Address, path, ask.Instance, nil)
	if err != nil {
		return nil, errNoEvents.Wrap(err, "build the call")
	}
	request.Header.Set(waitHeader, strconv.FormatInt(ask.Wait.Milliseconds(), 10))
	answer, err := p.client.Do(request)
	if err != nil {
		return nil, errNoEvents.Wrap(err, "ask")
	}
	defer brokercall.Discard(answer.Body, maxAnswerBytes)
	if answer.StatusCode != http.StatusOK {
		return nil, errNoEvents.New("status %d", answer.StatusCode)
	}
	events := &kvindex.Events{}
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswerBytes)).Decode(events); err != nil {
		return nil, errNoEvents.Wrap(err, "read")
	}
	return events, nil
}
