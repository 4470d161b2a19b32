// Package controlapi serves the HTTP calls of brokers and operators on a node's control address, and
// the platform's readiness check. It decodes requests, hands them to a Backend and encodes the
// responses. Source: PROTOCOL.md, "Service discovery" and "The operator's API".
//
// It takes no decision of its own and keeps no state: whether a change is valid is decided by the head
// of the chain. Invariant: a change is rejected for good only on the chain's own result; any other
// failure is a 503, after which the caller repeats the same command, with the same id, at any node.
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

// Backend executes the calls. Each context ends after Options.CallTimeout, or when the caller has
// disconnected. An error says that the node has no result: the caller gets 503 and tries another node.
type Backend interface {
	// Heartbeat registers a broker, or renews and updates its registration.
	Heartbeat(ctx context.Context, instance *nodepb.Instance) (HeartbeatAnswer, error)
	// Deregister removes a broker that shuts down.
	Deregister(ctx context.Context, id string) error
	// Submit submits a change of the control state to the chain and returns its result.
	Submit(ctx context.Context, command *nodepb.Command) (*nodepb.CommandResult, error)
	// Fetch returns the newest configuration as JSON, read through the chain's tail.
	Fetch(ctx context.Context) ([]byte, error)
	// Status returns what operators see of this node; it is encoded as JSON.
	Status() any
}

// HeartbeatAnswer acknowledges a heartbeat.
type HeartbeatAnswer struct {
	// HeartbeatURL is the control address, "IP:port", for the broker's later heartbeats; empty: none is
	// named.
	HeartbeatURL string
}

// Options configure the handler. Zero values take the defaults.
type Options struct {
	MaxBodyBytes int64         // of a configuration; default 8 MiB
	CallTimeout  time.Duration // of a Backend call; default 900 ms, as callers wait for 1 s
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

// api is the handler. Its fields don't change after Handler.
type api struct {
	backend      Backend
	maxBodyBytes int64
	callTimeout  time.Duration
	log          *slog.Logger
}

// Handler returns the HTTP handler of a control address.
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

// router maps the paths to their methods.
func (a *api) router() http.Handler {
	router := chi.NewRouter()
	router.Post(pathHeartbeat, handle(a.heartbeat))
	router.Post(pathDeregister, handle(a.deregister))
	router.Post(pathReplace, handle(a.replaceConfig))
	router.Post(pathUpdate, handle(a.updateConfig))
	router.Get(pathFetch, a.fetchConfig)
	router.Post(pathVersionPut, handle(a.putModelVersion))
	router.Get(pathStatus, a.status)
	return router
}

// handle adapts a handler that returns why it rejects a request, or nil if it has responded.
func handle(handler func(w http.ResponseWriter, r *http.Request) *requestError) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if rejection := handler(w, r); rejection != nil {
			rejection.write(w)
		}
	}
}

// callContext returns the context of a Backend call.
func (a *api) callContext(r *http.Request) (context.Context, context.CancelFunc) {
	return a.callContextForBody(r, 0)
}

// callContextForBody returns the context of a Backend call with a body of so many bytes; callers wait
// longer for large ones.
func (a *api) callContextForBody(r *http.Request, bytes int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), a.callTimeout+submit.SizeAllowance(bytes))
}

func (a *api) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.backend.Status())
}

// ReadinessHandler answers the platform's readiness check: 200 where ready returns true, else 503. The
// body is empty.
func ReadinessHandler(ready func() bool) http.Handler {
	router := chi.NewRouter()
	router.Get(pathReadiness, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}
