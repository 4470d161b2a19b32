package llmbroker

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Priorities go from 0, the most urgent, to 9; a request without one counts as 5.
const (
	defaultPriority = 5
	lowestPriority  = 9
)

// maxBodyBytes bounds what is read of a request.
const maxBodyBytes = 8 << 20

// call is one request at a broker.
type call struct {
	broker  *Broker
	writer  http.ResponseWriter
	request *http.Request
	body    []byte
	number  int // in the ledger
	run     uint64
	version uint64
}

func (b *Broker) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c := &call{broker: b, writer: w, request: r, body: body}
	c.number = b.options.Ledger.arrived(b.arrivalOf(r))
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	if b.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if status := c.rejection(); status != 0 {
		c.turnAway(status)
		return
	}
	c.serve()
}

func (b *Broker) arrivalOf(r *http.Request) Arrival {
	last, _ := strconv.Atoi(r.Header.Get(HeaderLastEventID))
	return Arrival{
		Request: r.Header.Get(HeaderRequestID), Service: b.options.Service, Instance: b.id,
		Method: r.Method, URI: r.RequestURI, Tenant: r.Header.Get(HeaderTenant), Model: r.Header.Get(HeaderModel),
		Salt: r.Header.Get(HeaderSalt), FetchFrom: r.Header.Get(HeaderFetch), SaveTo: r.Header.Get(HeaderSave),
		LastEventID: last, At: time.Now(),
	}
}

// rejection gives the status that turns the request away before it asks for a slot; 0: none.
func (c *call) rejection() int {
	header := c.request.Header
	if header.Get(HeaderRequestID) == "" {
		return http.StatusBadRequest
	}
	if expected := header.Get(HeaderExpectInstance); expected != "" && expected != c.broker.id {
		return http.StatusMisdirectedRequest
	}
	if !c.versionFits() {
		return http.StatusMisdirectedRequest
	}
	return 0
}

// versionFits compares Expect-Version with the broker's weights.
func (c *call) versionFits() bool {
	expected := c.request.Header.Get(HeaderExpectVersion)
	return expected == "" || c.broker.options.Engine == nil || expected == strconv.FormatUint(c.broker.engine.current(), 10)
}

// turnAway says that the request was not run.
func (c *call) turnAway(status int) {
	c.broker.tellLoad(c.writer)
	c.writer.Header().Set(HeaderNotExecuted, "1")
	c.writer.WriteHeader(status)
	c.note(func(a *Arrival) { a.Disposition, a.Status = TurnedAway, status })
}

func (c *call) note(alter func(*Arrival)) { c.broker.options.Ledger.change(c.number, alter) }

// serve waits for a slot and runs the request.
func (c *call) serve() {
	ctx, cancel := c.deadline()
	defer cancel()
	switch c.broker.slots.enter(ctx, c.priority()) {
	case admitted:
		defer c.broker.slots.leave()
	case gaveUp:
		if c.request.Context().Err() != nil {
			c.note(func(a *Arrival) { a.Disposition = TurnedAway })
			return
		}
		c.turnAway(http.StatusServiceUnavailable)
		return
	default:
		c.turnAway(http.StatusServiceUnavailable)
		return
	}
	if !c.versionFits() { // new weights came while it waited
		c.turnAway(http.StatusMisdirectedRequest)
		return
	}
	c.run = c.broker.runs.Add(1)
	if c.broker.options.Engine != nil {
		c.runModel(ctx)
		return
	}
	c.runPlain(ctx)
}

// deadline bounds the work by what the request was handed.
func (c *call) deadline() (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseFloat(c.request.Header.Get(HeaderDeadline), 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(c.request.Context())
	}
	return context.WithTimeout(c.request.Context(), time.Duration(ms*float64(time.Millisecond)))
}

func (c *call) priority() int {
	priority, err := strconv.Atoi(c.request.Header.Get(HeaderPriority))
	if err != nil || priority < 0 || priority > lowestPriority {
		return defaultPriority
	}
	return priority
}

// pause waits, and reports whether the caller still does.
func pause(ctx context.Context, span time.Duration) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *call) begin() {
	now := time.Now()
	c.note(func(a *Arrival) { a.Disposition, a.BegunAt, a.Version = Running, now, c.version })
}

// runPlain runs a request of a plain service.
func (c *call) runPlain(ctx context.Context) {
	c.begin()
	if !pause(ctx, c.broker.options.Work) {
		c.stopEarly()
		return
	}
	body := fmt.Appendf(nil, "%s %s run %d of %s: %x\n", c.request.Method, c.request.RequestURI, c.run, c.broker.id, hashOf(c.body))
	header := c.writer.Header()
	header.Set(HeaderSeal, Seal(c.broker.id, c.run, hashOf(body)))
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.broker.tellLoad(c.writer)
	c.writer.WriteHeader(http.StatusOK)
	_, err := c.writer.Write(body)
	c.finished(http.StatusOK, err)
}

// stopEarly ends a run whose deadline has passed, with a 504 of the broker's own, or whose caller has left.
func (c *call) stopEarly() {
	if c.request.Context().Err() != nil {
		c.finished(0, c.request.Context().Err())
		return
	}
	c.broker.tellLoad(c.writer)
	c.writer.WriteHeader(http.StatusGatewayTimeout)
	c.finished(http.StatusGatewayTimeout, nil)
}

func (c *call) finished(status int, err error) {
	disposition := Finished
	if err != nil {
		disposition = Aborted
	}
	c.note(func(a *Arrival) { a.Disposition, a.Status = disposition, status })
}

// Seal is the stamp of an answer: who gave it, in which of its runs, and a check of the whole body: its Hash, or for a
// stream the number of its last event.
func Seal(instance string, run, check uint64) string {
	return fmt.Sprintf("%s.%d.%x", instance, run, check)
}

// Hash is the check in the seal of an answer that is no stream.
func Hash(body []byte) uint64 { return hashOf(body) }

func hashOf(text []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(text)
	return hash.Sum64()
}
