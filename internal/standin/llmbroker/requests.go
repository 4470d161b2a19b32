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

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 8 << 20

// call is one request at a broker, with its answer.
type call struct {
	broker        *Broker
	writer        http.ResponseWriter
	request       *http.Request
	body          []byte
	arrivalNumber int // in the log
	run           uint64
	version       uint64
}

// serveRequest records a request, and rejects or serves it.
func (b *Broker) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c := &call{broker: b, writer: w, request: r, body: body}
	c.arrivalNumber = b.options.Log.add(b.arrivalOf(r))
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	if b.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if status := c.rejection(); status != 0 {
		c.reject(status)
		return
	}
	c.serve()
}

// arrivalOf is the record of a request that arrives now.
func (b *Broker) arrivalOf(r *http.Request) Arrival {
	last, _ := strconv.Atoi(r.Header.Get(HeaderLastEventID))
	return Arrival{
		Request: r.Header.Get(HeaderRequestID), Service: b.options.Service, Instance: b.id,
		Method: r.Method, URI: r.RequestURI, Tenant: r.Header.Get(HeaderTenant), Model: r.Header.Get(HeaderModel),
		Salt: r.Header.Get(HeaderSalt), FetchFrom: r.Header.Get(HeaderFetch), SaveTo: r.Header.Get(HeaderSave),
		LastEventID: last, ReceivedAt: time.Now(),
	}
}

// rejection is the status that rejects the request before it waits for a slot; 0: none.
func (c *call) rejection() int {
	header := c.request.Header
	if header.Get(HeaderRequestID) == "" {
		return http.StatusBadRequest
	}
	if expected := header.Get(HeaderExpectInstance); expected != "" && expected != c.broker.id {
		return http.StatusMisdirectedRequest
	}
	if !c.acceptsVersion() {
		return http.StatusMisdirectedRequest
	}
	return 0
}

// acceptsVersion reports whether the broker's weights have the version of Expect-Version.
func (c *call) acceptsVersion() bool {
	expected := c.request.Header.Get(HeaderExpectVersion)
	return expected == "" || c.broker.options.Engine == nil || expected == strconv.FormatUint(c.broker.engine.currentVersion(), 10)
}

// reject answers that the request was not executed.
func (c *call) reject(status int) {
	c.broker.setLoadHeader(c.writer)
	c.writer.Header().Set(HeaderNotExecuted, "1")
	c.writer.WriteHeader(status)
	c.updateArrival(func(a *Arrival) { a.Disposition, a.Status = Rejected, status })
}

// updateArrival alters the record of the request.
func (c *call) updateArrival(alter func(*Arrival)) {
	c.broker.options.Log.update(c.arrivalNumber, alter)
}

// serve waits for a slot and runs the request.
func (c *call) serve() {
	ctx, cancel := c.deadline()
	defer cancel()
	switch c.broker.slots.enter(ctx, c.priority()) {
	case admitted:
		defer c.broker.slots.leave()
	case abandoned:
		if c.request.Context().Err() != nil {
			c.updateArrival(func(a *Arrival) { a.Disposition = Rejected })
			return
		}
		c.reject(http.StatusServiceUnavailable)
		return
	default:
		c.reject(http.StatusServiceUnavailable)
		return
	}
	if !c.acceptsVersion() { // the weights have changed while it waited
		c.reject(http.StatusMisdirectedRequest)
		return
	}
	c.run = c.broker.lastRun.Add(1)
	if c.broker.options.Engine != nil {
		c.runModel(ctx)
		return
	}
	c.runPlain(ctx)
}

// deadline is a context with the request's deadline.
func (c *call) deadline() (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseFloat(c.request.Header.Get(HeaderDeadline), 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(c.request.Context())
	}
	return context.WithTimeout(c.request.Context(), time.Duration(ms*float64(time.Millisecond)))
}

// priority is the request's priority.
func (c *call) priority() int {
	priority, err := strconv.Atoi(c.request.Header.Get(HeaderPriority))
	if err != nil || priority < 0 || priority > lowestPriority {
		return defaultPriority
	}
	return priority
}

// sleep waits, and reports whether ctx has not ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// start records that the request starts to run.
func (c *call) start() {
	now := time.Now()
	c.updateArrival(func(a *Arrival) { a.Disposition, a.StartedAt, a.Version = Running, now, c.version })
}

// runPlain runs a request of a plain service.
func (c *call) runPlain(ctx context.Context) {
	c.start()
	if !sleep(ctx, c.broker.options.ServiceTime) {
		c.endEarly()
		return
	}
	body := fmt.Appendf(nil, "%s %s run %d of %s: %x\n", c.request.Method, c.request.RequestURI, c.run, c.broker.id, hashOf(c.body))
	header := c.writer.Header()
	header.Set(HeaderSeal, Seal(c.broker.id, c.run, hashOf(body)))
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.broker.setLoadHeader(c.writer)
	c.writer.WriteHeader(http.StatusOK)
	_, err := c.writer.Write(body)
	c.finish(http.StatusOK, err)
}

// endEarly ends a run whose client has left, or whose deadline has passed, with a 504.
func (c *call) endEarly() {
	if c.request.Context().Err() != nil {
		c.finish(0, c.request.Context().Err())
		return
	}
	c.broker.setLoadHeader(c.writer)
	c.writer.WriteHeader(http.StatusGatewayTimeout)
	c.finish(http.StatusGatewayTimeout, nil)
}

// finish records the end of a run; err: the answer is incomplete.
func (c *call) finish(status int, err error) {
	disposition := Finished
	if err != nil {
		disposition = Aborted
	}
	now := time.Now()
	c.updateArrival(func(a *Arrival) { a.Disposition, a.Status, a.EndedAt = disposition, status, now })
}

// Seal is the seal of an answer: the instance, its run, and a check of the complete body: its Hash, or for a stream the number of its
// last event.
func Seal(instance string, run, check uint64) string {
	return fmt.Sprintf("%s.%d.%x", instance, run, check)
}

// Hash is the check in the seal of an answer that is not a stream.
func Hash(body []byte) uint64 { return hashOf(body) }

func hashOf(text []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(text)
	return hash.Sum64()
}
