package llmbroker

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	pathReport = "/kestrelspread/report"
	pathOrder  = "/kestrelspread/order"
)

// Order is the body of POST /kestrelspread/order. Source: PROTOCOL.md, "Requests".
type Order struct {
	Operation        string  `json:"op"`
	Model            string  `json:"model"`
	Version          uint64  `json:"version"`
	Mode             string  `json:"mode"`
	LeaseHolder      string  `json:"holder"`
	FencingToken     *uint64 `json:"fence"`
	ExpectedSequence *uint64 `json:"ifRevision"`
}

// The modes of an order to load a version.
const (
	modeWait     = "wait"
	modeTruncate = "truncate"
	modeKeep     = "keep"
)

// engineState is the state of a model broker.
type engineState struct {
	mutex           sync.Mutex
	version         uint64
	loading         uint64 // version that is being loaded; 0: none
	sequence        uint64 // orders accepted
	maxFencingToken uint64 // highest one accepted
	runs            map[uint64]*modelRun
}

// modelRun is a request in a slot of a model broker.
type modelRun struct {
	cancel  context.CancelFunc
	started bool // its first event was due
}

// currentVersion is the version of the weights.
func (e *engineState) currentVersion() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.version
}

// admit registers a request in a slot, so that an order can cancel it. false: an order is in progress.
func (e *engineState) admit(run uint64, cancel context.CancelFunc) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.loading != 0 {
		return false
	}
	e.runs[run] = &modelRun{cancel: cancel}
	return true
}

// start records that a run's first event is due, and returns the version of the weights. false: an order came first.
func (e *engineState) start(run uint64) (uint64, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.loading != 0 {
		return 0, false
	}
	e.runs[run].started = true
	return e.version, true
}

// end removes a run.
func (e *engineState) end(run uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.runs, run)
}

// serveOrder accepts or rejects an order, and records it. One with a truncated body is ignored.
func (b *Broker) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	receivedAt := time.Now()
	status := http.StatusBadRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<16))
	if tooLarge := new(http.MaxBytesError); err != nil && !errors.As(err, &tooLarge) {
		return
	}
	if expected := r.Header.Get(HeaderExpectInstance); expected != "" && expected != b.id {
		status = http.StatusMisdirectedRequest
	} else if err == nil && json.Unmarshal(body, &order) == nil {
		status = b.applyOrder(order)
	}
	b.options.Log.addOrder(OrderArrival{Instance: b.id, Order: order, ReceivedAt: receivedAt, Status: status})
	w.WriteHeader(status)
}

// applyOrder returns the status of an order, and starts to load the version if it is accepted.
func (b *Broker) applyOrder(order Order) int {
	engine := b.options.Engine
	if order.Operation != "version" || order.LeaseHolder == "" || order.FencingToken == nil || order.Model != engine.Model ||
		order.Mode != modeWait && order.Mode != modeTruncate && order.Mode != modeKeep {
		return http.StatusBadRequest
	}
	state := &b.engine
	state.mutex.Lock()
	defer state.mutex.Unlock()
	switch {
	case engine.Fencing && *order.FencingToken < state.maxFencingToken:
		return http.StatusPreconditionFailed
	case order.ExpectedSequence != nil && *order.ExpectedSequence != state.sequence:
		return http.StatusConflict
	case !engine.Weights.has(order.Model, order.Version):
		return http.StatusBadRequest
	}
	state.maxFencingToken = max(state.maxFencingToken, *order.FencingToken)
	switch {
	case state.loading != 0:
		return http.StatusConflict
	case state.version == order.Version:
		return http.StatusOK
	}
	state.loading = order.Version
	state.sequence++
	b.startLoading(order.Mode)
	return http.StatusAccepted
}

// startLoading cancels the runs that the mode does not wait for, and loads the version once it may: b.engine.mutex must be held.
func (b *Broker) startLoading(mode string) {
	for _, run := range b.engine.runs {
		if !run.started || mode == modeTruncate {
			run.cancel()
		}
	}
	load := func() { time.AfterFunc(b.options.Engine.LoadTime, b.finishLoading) }
	if mode == modeKeep {
		b.slots.close(nil)
		load()
		return
	}
	b.slots.close(load)
}

// finishLoading switches to the new weights, and drops the blocks that were cached with the old ones.
func (b *Broker) finishLoading() {
	b.engine.mutex.Lock()
	b.engine.version, b.engine.loading = b.engine.loading, 0
	b.engine.mutex.Unlock()
	b.kvCache.blocks.clear()
	b.slots.open()
}

// reportBody is the answer to GET /kestrelspread/report.
type reportBody struct {
	Stage    string      `json:"stage"`
	Models   []modelBody `json:"models"`
	Busy     bool        `json:"busy"`
	Sequence uint64      `json:"sequence"`
	Queued   int         `json:"queued"`
	Running  int         `json:"running"`
	KVUsed   int         `json:"kvUsed"`
	KVTotal  int         `json:"kvTotal"`
	Handles  int         `json:"handles"`
}

// modelBody is a model in reports and heartbeats.
type modelBody struct {
	Name     string   `json:"name"`
	Version  uint64   `json:"version"`
	Adapters []string `json:"adapters"`
}

// models is the model and its version, as in reports; none at a plain broker.
func (b *Broker) models() []modelBody {
	if b.options.Engine == nil {
		return nil
	}
	return []modelBody{{Name: b.options.Engine.Model, Version: b.engine.currentVersion(), Adapters: []string{}}}
}

// serveReport answers with the state of the broker.
func (b *Broker) serveReport(w http.ResponseWriter) {
	running, waiting, _ := b.slots.load()
	body := reportBody{
		Stage: stage, Models: b.models(), Queued: waiting, Running: running,
		KVUsed: 0, KVTotal: b.options.Engine.KVCapacityTokens,
	}
	b.engine.mutex.Lock()
	body.Busy, body.Sequence = b.engine.loading != 0, b.engine.sequence
	b.engine.mutex.Unlock()
	writeJSON(w, http.StatusOK, body)
}
