// Package controlapi serves the HTTP calls of brokers and operators on a node's control address, and the platform's
// readiness check. It decodes calls, hands them to a Backend and words the answers; it decides nothing itself.
// Source: PROTOCOL.md, "Service discovery" and "The operator's API".
package controlapi

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/submit"
)

// Backend carries the calls out. Each context ends after Options.CallTimeout, or when the caller has left. An error
// says that the node could not tell: the caller gets 503 and goes on to another node.
type Backend interface {
	// Heartbeat takes a broker's announcement of itself.
	Heartbeat(ctx context.Context, instance *nodepb.Instance) (HeartbeatAnswer, error)
	// Deregister takes a broker's word that it ends.
	Deregister(ctx context.Context, id string) error
	// Submit brings a change of the control state to the chain.
	Submit(ctx context.Context, command *nodepb.Command) (*nodepb.CommandResult, error)
	// Fetch reads the newest configuration in full, as JSON, through the chain's tail.
	Fetch(ctx context.Context) ([]byte, error)
	// Status is what operators see of this node; it is encoded as JSON.
	Status() any
}

// HeartbeatAnswer acknowledges a heartbeat.
type HeartbeatAnswer struct {
	// HeartbeatURL is an address, "IP:port", for the broker's later heartbeats; empty: none is named.
	HeartbeatURL string
}

// Options fit the handler to its node. Zero values take the defaults.
type Options struct {
	MaxBodyBytes int64         // of a configuration; default 8 MiB
	CallTimeout  time.Duration // for the Backend; default 900 ms, as callers wait for a second
	Log          *slog.Logger  // default: slog's own
}

// Defaults and bounds.
const (
	defaultMaxBodyBytes = 8 << 20
	defaultCallTimeout  = 900 * time.Millisecond
	maxSmallBodyBytes   = 64 << 10 // of a heartbeat or of named weights
)

// The paths of the calls.
const (
	pathHeartbeat  = "/kestrelspread/instances/{id}/heartbeat"
	pathDeregister = "/kestrelspread/instances/{id}/deregister"
	pathReplace    = "/kestrelspread/config/replace"
	pathUpdate     = "/kestrelspread/config/update"
	pathFetch      = "/kestrelspread/config/fetch"
	pathVersionPut = "/kestrelspread/version-put"
	pathStatus     = "/kestrelspread/status"
	pathReadiness  = "/kestrelspread/readyz"
)

// api is the handler's state: none besides what it was made with.
type api struct {
	backend      Backend
	maxBodyBytes int64
	callTimeout  time.Duration
	log          *slog.Logger
}

// Handler serves the control address.
func Handler(backend Backend, options Options) http.Handler {
	a := &api{
		backend:      backend,
		maxBodyBytes: options.MaxBodyBytes,
		callTimeout:  options.CallTimeout,
		log:          options.Log,
	}
	if a.maxBodyBytes <= 0 {
		a.maxBodyBytes = defaultMaxBodyBytes
	}
	if a.callTimeout <= 0 {
		a.callTimeout = defaultCallTimeout
	}
	if a.log == nil {
		a.log = slog.Default()
	}
	return a.router()
}

func (a *api) router() http.Handler {
	router := chi.NewRouter()
	router.Post(pathHeartbeat, a.heartbeat)
	router.Post(pathDeregister, a.deregister)
	router.Post(pathReplace, a.replaceConfig)
	router.Post(pathUpdate, a.updateConfig)
	router.Get(pathFetch, a.fetchConfig)
	router.Post(pathVersionPut, a.putModelVersion)
	router.Get(pathStatus, a.status)
	return router
}

// callContext bounds a call of the Backend.
func (a *api) callContext(r *http.Request) (context.Context, context.CancelFunc) {
	return a.sizedCallContext(r, 0)
}

// sizedCallContext bounds a call with a body of that many bytes, for which callers wait longer.
func (a *api) sizedCallContext(r *http.Request, bytes int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), a.callTimeout+submit.SizeAllowance(bytes))
}

func (a *api) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.backend.Status())
}

// ReadinessHandler answers the platform's check: 200 where ready says so, else 503. Nobody reads the body.
func ReadinessHandler(ready func() bool) http.Handler {
	router := chi.NewRouter()
	router.Get(pathReadiness, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}
