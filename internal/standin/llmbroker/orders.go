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
	Op         string  `json:"op"`
	Model      string  `json:"model"`
	Version    uint64  `json:"version"`
	Mode       string  `json:"mode"`
	Holder     string  `json:"holder"`
	Fence      *uint64 `json:"fence"`
	IfRevision *uint64 `json:"ifRevision"`
}

// The modes of an order to load a version.
const (
	modeWait     = "wait"
	modeTruncate = "truncate"
	modeKeep     = "keep"
)

// engineState is what a model broker is doing.
type engineState struct {
	mutex    sync.Mutex
	version  uint64
	loading  uint64 // version that is being loaded; 0: none
	sequence uint64 // orders taken
	fence    uint64 // highest seen
	running  map[uint64]*modelRun
}

// modelRun is a request that holds a slot of a model broker.
type modelRun struct {
	cancel context.CancelFunc
	begun  bool // its first event is out
}

func (e *engineState) current() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.version
}

// admit notes a request that has a slot, so that an order can cut it off. false: an order is under way.
func (e *engineState) admit(run uint64, cancel context.CancelFunc) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.loading != 0 {
		return false
	}
	e.running[run] = &modelRun{cancel: cancel}
	return true
}

// begin notes that a run's first event is due, and gives the version of the weights. false: an order came before it.
func (e *engineState) begin(run uint64) (uint64, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.loading != 0 {
		return 0, false
	}
	e.running[run].begun = true
	return e.version, true
}

func (e *engineState) end(run uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.running, run)
}

// order takes an order, or says why not. One whose sender went before the body was whole is none, and is not noted.
func (b *Broker) order(w http.ResponseWriter, r *http.Request) {
	var order Order
	at := time.Now()
	status := http.StatusBadRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<16))
	if tooLarge := new(http.MaxBytesError); err != nil && !errors.As(err, &tooLarge) {
		return
	}
	if expected := r.Header.Get(HeaderExpectInstance); expected != "" && expected != b.id {
		status = http.StatusMisdirectedRequest
	} else if err == nil && json.Unmarshal(body, &order) == nil {
		status = b.decide(order)
	}
	b.options.Ledger.ordered(OrderArrival{Instance: b.id, Order: order, At: at, Status: status})
	w.WriteHeader(status)
}

// decide gives the status of an order, and begins what it asks for.
func (b *Broker) decide(order Order) int {
	engine := b.options.Engine
	if order.Op != "version" || order.Holder == "" || order.Fence == nil || order.Model != engine.Model ||
		order.Mode != modeWait && order.Mode != modeTruncate && order.Mode != modeKeep {
		return http.StatusBadRequest
	}
	state := &b.engine
	state.mutex.Lock()
	defer state.mutex.Unlock()
	switch {
	case engine.Fencing && *order.Fence < state.fence:
		return http.StatusPreconditionFailed
	case order.IfRevision != nil && *order.IfRevision != state.sequence:
		return http.StatusConflict
	case !engine.Weights.has(order.Model, order.Version):
		return http.StatusBadRequest
	}
	state.fence = max(state.fence, *order.Fence)
	switch {
	case state.loading != 0:
		return http.StatusConflict
	case state.version == order.Version:
		return http.StatusOK
	}
	state.loading = order.Version
	state.sequence++
	b.beginLoad(order.Mode)
	return http.StatusAccepted
}

// beginLoad is called with the state's mutex held.
func (b *Broker) beginLoad(mode string) {
	for _, run := range b.engine.running {
		if !run.begun || mode == modeTruncate {
			run.cancel()
		}
	}
	load := func() { time.AfterFunc(b.options.Engine.Load, b.loaded) }
	if mode == modeKeep {
		b.slots.close(nil)
		load()
		return
	}
	b.slots.close(load)
}

// loaded puts new weights in force and drops what was kept under the old ones.
func (b *Broker) loaded() {
	b.engine.mutex.Lock()
	b.engine.version, b.engine.loading = b.engine.loading, 0
	b.engine.mutex.Unlock()
	b.kv.parts.clear()
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

// models is what the broker says of its model; none at a plain broker.
func (b *Broker) models() []modelBody {
	if b.options.Engine == nil {
		return nil
	}
	return []modelBody{{Name: b.options.Engine.Model, Version: b.engine.current(), Adapters: []string{}}}
}

func (b *Broker) report(w http.ResponseWriter) {
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
