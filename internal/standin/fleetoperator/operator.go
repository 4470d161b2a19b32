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
	ReceivedAt    time.Time
	Configuration Configuration // that it put in force; empty for weights
	Model         string        // whose weights were published; empty for configurations
	ModelVersion  uint64
}

// Operator sends changes. Its methods may be called from several goroutines.
type Operator struct {
	sender  sender
	weights *llmbroker.Weights // nil: no brokers

	mutex        sync.Mutex
	acknowledged []Acknowledgement
	unclear      []Configuration
}

// New returns an operator that finds nodes at the addresses that control returns. Versions are published to weights before they are
// sent to the nodes; weights may be nil.
func New(control func() []string, weights *llmbroker.Weights) *Operator {
	return &Operator{sender: newSender(control), weights: weights}
}

// Close ends idle connections.
func (o *Operator) Close() { o.sender.client.CloseIdleConnections() }

// Replace sends a complete configuration that builds on the version base, until it is acknowledged, rejected, or ctx ends.
func (o *Operator) Replace(ctx context.Context, base uint64, configuration Configuration) (Acknowledgement, error) {
	return o.change(ctx, pathReplace, base, configuration, configuration)
}

// Update changes named items of the configuration before.
func (o *Operator) Update(ctx context.Context, before Configuration, update Update) (Acknowledgement, error) {
	return o.change(ctx, pathUpdate, before.Version, update, before.Apply(update))
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
	if err := rejection(given); err != nil {
		return Acknowledgement{}, err
	}
	return o.record(Acknowledgement{SentAt: sent, ReceivedAt: time.Now(), Configuration: result}), nil
}

// record retains an acknowledgement.
func (o *Operator) record(a Acknowledgement) Acknowledgement {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.acknowledged = append(o.acknowledged, a)
	return a
}

// Learn records an acknowledgement of another operator, so that later changes build on it.
func (o *Operator) Learn(other Acknowledgement) { o.record(other) }

// rejection is the error of an answer that rejects a change.
func rejection(given answer) error {
	switch {
	case given.status/100 == 2:
		return nil
	case given.status == http.StatusPreconditionFailed:
		return fmt.Errorf("%w: status %d: %s", ErrConflict, given.status, given.body)
	default:
		return fmt.Errorf("%w: status %d: %s", ErrRejected, given.status, given.body)
	}
}

// PutVersion publishes a version of the weights of a model.
func (o *Operator) PutVersion(ctx context.Context, model string, version uint64) (Acknowledgement, error) {
	if o.weights != nil {
		o.weights.Publish(model, version)
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
	if err := rejection(given); err != nil {
		return Acknowledgement{}, err
	}
	return o.record(Acknowledgement{SentAt: sent, ReceivedAt: time.Now(), Model: model, ModelVersion: version}), nil
}

// Acknowledged returns all acknowledgements, in order.
func (o *Operator) Acknowledged() []Acknowledgement {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.acknowledged)
}

// Unclear returns the configurations of changes without a definite answer: each may or may not be in force.
func (o *Operator) Unclear() []Configuration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.unclear)
}

// Current is the newest acknowledged configuration; version 0: there is none.
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
