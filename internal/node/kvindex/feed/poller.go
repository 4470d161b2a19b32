// Package feed makes the HTTP calls of package kvindex: it long-polls the cache events of brokers and
// stores. When to call whom, and what the events mean, is decided there.
//
// Each call ends with exactly one result, after at most the time that it may be held and
// connectTimeout.
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
	// connectTimeout bounds connecting, and the response beyond the time that a call may be held.
	connectTimeout = time.Second
	// idleTimeout is how long an idle connection is kept. The next call usually comes within a second.
	idleTimeout = 10 * time.Second
	// maxResponseBytes bounds what is read of a response.
	maxResponseBytes = 4 << 20

	// PROTOCOL.md, "KV cache".
	eventsPath = "/kestrelspread/kv-events"
	waitHeader = "Wait-Ms"
)

// errNoEvents says that a call failed.
var errFetchFailed = errors.New("kvindex: no events")

// Poller makes the calls. It is safe for concurrent use.
type Poller struct {
	done   func(token uint64, events *kvindex.Events, err error)
	client *http.Client
}

// New returns a Poller, which reaches brokers under the addresses that networkMap rewrites theirs to. It calls done once for each call, on a goroutine of its own.
func New(networkMap netmap.Map, done func(token uint64, events *kvindex.Events, err error)) *Poller {
	client := brokercall.NewClient(brokercall.Options{ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout, NetworkMap: networkMap})
	return &Poller{done: done, client: client}
}

// Close closes idle connections. Pending calls go on to their end.
func (p *Poller) Close() { p.client.CloseIdleConnections() }

// Fetch starts a call. Its goroutine ends with the call.
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
		return nil, fmt.Errorf("%w: events of %s: build request: %w", errFetchFailed, call.Address, err)
	}
	request.Header.Set(waitHeader, strconv.FormatInt(call.Wait.Milliseconds(), 10))
	events := &kvindex.Events{}
	if err := brokercall.FetchJSON(p.client, request, maxResponseBytes, events); err != nil {
		return nil, fmt.Errorf("%w: events of %s: %w", errFetchFailed, call.Address, err)
	}
	return events, nil
}
