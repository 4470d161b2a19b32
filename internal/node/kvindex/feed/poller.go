// Package feed makes the HTTP calls of package kvindex, which long-poll the cache events of brokers and
// stores. Package kvindex decides when to call which source, and interprets the events.
//
// Every call ends with exactly one result, at the latest after its long-poll time plus connectTimeout.
package feed

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"kestrelspread/internal/node/brokercall"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
	"kestrelspread/internal/node/netmap"
)

const (
	// connectTimeout limits the time to connect. It is also the time that a call may take beyond its
	// long-poll time.
	connectTimeout = time.Second
	// idleTimeout is how long an idle connection is kept. The next call usually follows within a second.
	idleTimeout = 10 * time.Second
	// maxResponseBytes is how much of a response body is read at most.
	maxResponseBytes = 4 << 20

	// Path and request header of PROTOCOL.md, "KV cache". The header carries the long-poll time in
	// milliseconds.
	eventsPath = "/kestrelspread/kv-events"
	waitHeader = "Wait-Ms"
)

// errFetchFailed is wrapped by the errors of failed calls.
var errFetchFailed = errors.New("kvindex: fetch of cache events failed")

// Poller makes the calls to brokers and stores. It is safe for concurrent use.
type Poller struct {
	done   func(token uint64, events *kvindex.Events, err error)
	client *http.Client
}

// New returns a Poller that connects to the addresses into which networkMap rewrites those of brokers and
// stores. It calls done with the result of each call, once per call and on the goroutine of the call.
func New(networkMap netmap.Map, done func(token uint64, events *kvindex.Events, err error)) *Poller {
	client := brokercall.NewClient(brokercall.Options{ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout, NetworkMap: networkMap})
	return &Poller{done: done, client: client}
}

// Close closes idle connections. Pending calls continue until they end.
func (p *Poller) Close() { p.client.CloseIdleConnections() }

// Fetch starts a call on a goroutine of its own, which ends with the call.
func (p *Poller) Fetch(call core.FetchEvents) {
	go func() {
		events, err := p.get(call)
		p.done(call.Token, events, err)
	}()
}

// get makes a call and returns its events.
func (p *Poller) get(call core.FetchEvents) (*kvindex.Events, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Wait+connectTimeout)
	defer cancel()
	path := eventsPath + "?since=" + strconv.FormatUint(call.Since, 10)
	request, err := brokercall.NewRequest(ctx, http.MethodGet, call.Address, path, call.Instance, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: source %s: build request: %w", errFetchFailed, call.Address, err)
	}
	request.Header.Set(waitHeader, strconv.FormatInt(call.Wait.Milliseconds(), 10))
	events := &kvindex.Events{}
	if err := brokercall.FetchJSON(p.client, request, maxResponseBytes, events); err != nil {
		return nil, fmt.Errorf("%w: source %s: %w", errFetchFailed, call.Address, err)
	}
	return events, nil
}
