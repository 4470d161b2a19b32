package fleetoperator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"kestrelspread/internal/standin/llmbroker"
)

// The paths of the operator's calls.
const (
	pathReplace    = "/kestrelspread/config/replace"
	pathUpdate     = "/kestrelspread/config/update"
	pathFetch      = "/kestrelspread/config/fetch"
	pathVersionPut = "/kestrelspread/version-put"
)

// Acknowledgement is a change that a node has acknowledged.
type Acknowledgement struct {
	SentAt        time.Time
	At            time.Time
	Configuration Configuration // in force by it; empty where weights were named
	Model         string        // whose weights were named
	ModelVersion  uint64
}

// Operator sends changes. Its methods may be called from several goroutines.
type Operator struct {
	sender  sender
	weights *llmbroker.Weights // nil: nobody loads weights

	mutex        sync.Mutex
	acknowledged []Acknowledgement
	unclear      []Configuration
}

// New returns an operator that finds nodes at the addresses that control gives. weights are told of versions before they
// are named to the nodes; it may be nil.
func New(control func() []string, weights *llmbroker.Weights) *Operator {
	return &Operator{sender: newSender(control), weights: weights}
}

// Close ends idle connections.
func (o *Operator) Close() { o.sender.client.CloseIdleConnections() }

// Replace brings a whole configuration that builds on the version base, until it is acknowledged, refused, or ctx ends.
func (o *Operator) Replace(ctx context.Context, base uint64, whole Configuration) (Acknowledgement, error) {
	return o.change(ctx, pathReplace, base, whole, whole)
}

// Update alters named items of the configuration before.
func (o *Operator) Update(ctx context.Context, before Configuration, update Update) (Acknowledgement, error) {
	return o.change(ctx, pathUpdate, before.Version, update, before.apply(update))
}

// change sends a change whose acknowledgement puts a configuration in force.
func (o *Operator) change(ctx context.Context, path string, base uint64, body any, result Configuration) (Acknowledgement, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return Acknowledgement{}, err
	}
	sent := time.Now()
	given, err := o.sender.send(ctx, call{method: http.MethodPost, path: path, base: &base, body: text})
	if err != nil {
		o.mutex.Lock()
		o.unclear = append(o.unclear, result)
		o.mutex.Unlock()
		return Acknowledgement{}, fmt.Errorf("%w: configuration %d: %w", ErrUnclear, result.Version, err)
	}
	if err := refusal(given); err != nil {
		return Acknowledgement{}, err
	}
	return o.note(Acknowledgement{SentAt: sent, At: time.Now(), Configuration: result}), nil
}

func (o *Operator) note(a Acknowledgement) Acknowledgement {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.acknowledged = append(o.acknowledged, a)
	return a
}

// Learn takes over what another operator got acknowledged, so that later changes build on it.
func (o *Operator) Learn(other Acknowledgement) { o.note(other) }

// refusal words an answer that turns a change down.
func refusal(given answer) error {
	switch {
	case given.status/100 == 2:
		return nil
	case given.status == http.StatusPreconditionFailed:
		return fmt.Errorf("%w: status %d: %s", ErrConflict, given.status, given.body)
	default:
		return fmt.Errorf("%w: status %d: %s", ErrRefused, given.status, given.body)
	}
}

// PutVersion names new weights of a model.
func (o *Operator) PutVersion(ctx context.Context, model string, version uint64) (Acknowledgement, error) {
	if o.weights != nil {
		o.weights.Name(model, version)
	}
	text, err := json.Marshal(struct {
		Model   string `json:"model"`
		Version uint64 `json:"version"`
	}{model, version})
	if err != nil {
		return Acknowledgement{}, err
	}
	sent := time.Now()
	given, err := o.sender.send(ctx, call{method: http.MethodPost, path: pathVersionPut, body: text})
	if err != nil {
		return Acknowledgement{}, fmt.Errorf("%w: version %d of %s: %w", ErrUnclear, version, model, err)
	}
	if err := refusal(given); err != nil {
		return Acknowledgement{}, err
	}
	return o.note(Acknowledgement{SentAt: sent, At: time.Now(), Model: model, ModelVersion: version}), nil
}

// Acknowledged gives all acknowledgements, in order.
func (o *Operator) Acknowledged() []Acknowledgement {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.acknowledged)
}

// Current is the newest configuration that was acknowledged; its version is 0 where none was.
func (o *Operator) Current() Configuration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var newest Configuration
	for _, a := range o.acknowledged {
		if a.Configuration.Version > newest.Version {
			newest = a.Configuration
		}
	}
	return newest
}
