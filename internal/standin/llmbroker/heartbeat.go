package llmbroker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	stage = "both" // a broker does both prefill and decode
	// ackTimeout bounds the wait for an acknowledgement.
	ackTimeout = time.Second
	// maxAckBytes bounds an acknowledgement.
	maxAckBytes = 4 << 10
	// retryBackoff follows a call that no node acknowledged.
	retryBackoff = 100 * time.Millisecond
	software     = "standin-1"
)

// heartbeatBody is the body of a heartbeat. Source: PROTOCOL.md, "Service discovery".
type heartbeatBody struct {
	Service           string      `json:"service"`
	Address           string      `json:"address"`
	Zone              string      `json:"zone"`
	Version           string      `json:"version"`
	Slots             int         `json:"slots"`
	State             string      `json:"state"`
	WarmUpRemainingMs int         `json:"coldRemainingMs"`
	Stage             string      `json:"stage,omitempty"`
	Models            []modelBody `json:"models,omitempty"`
	Sequence          uint64      `json:"sequence"`
}

// announcer sends a broker's heartbeats.
type announcer struct {
	broker    *Broker
	client    *http.Client
	announced chan struct{}

	mutex         sync.Mutex // held during a call: a broker sends one call at a time
	sequence      uint64
	preferredNode string // address named by the last acknowledgement; empty: none
	announceOnce  sync.Once
	deregistering bool // no heartbeat follows
}

// newAnnouncer has not sent anything yet.
func newAnnouncer(broker *Broker) *announcer {
	return &announcer{
		broker: broker, announced: make(chan struct{}),
		client: &http.Client{Timeout: ackTimeout, Transport: &http.Transport{IdleConnTimeout: 10 * time.Second}},
	}
}

// run sends heartbeats until the broker ends.
func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		next := a.broker.options.HeartbeatInterval
		if _, err := a.announce(ctx); err != nil {
			next = min(next, retryBackoff)
		}
		timer.Reset(next)
	}
}

// announce sends one heartbeat, to one node after another until one acknowledges it, and returns the time of that.
func (a *announcer) announce(ctx context.Context) (time.Time, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.deregistering {
		return time.Time{}, errDeregistered
	}
	a.sequence++
	body, err := json.Marshal(a.body())
	if err != nil {
		return time.Time{}, err
	}
	answer, err := a.callAny(ctx, "heartbeat", body)
	if err != nil {
		return time.Time{}, err
	}
	acknowledgedAt := time.Now()
	var reply struct {
		HeartbeatURL string `json:"heartbeatUrl"`
	}
	if json.Unmarshal(answer, &reply) == nil && reply.HeartbeatURL != "" {
		a.preferredNode = reply.HeartbeatURL
	}
	a.announceOnce.Do(func() { close(a.announced) })
	return acknowledgedAt, nil
}

// prefer makes a node the first to be called.
func (a *announcer) prefer(node string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.preferredNode = node
}

// body is the content of the next heartbeat.
func (a *announcer) body() heartbeatBody {
	b := a.broker
	body := heartbeatBody{
		Service: b.options.Service, Address: b.address, Zone: b.options.Zone, Version: software,
		Slots: b.options.Slots, State: "ready", Sequence: a.sequence, Models: b.models(),
	}
	if body.Models != nil {
		body.Stage = stage
	}
	if b.draining.Load() {
		body.State = "draining"
	}
	return body
}

// callAny calls the preferred node, or if that fails the nodes in random order.
func (a *announcer) callAny(ctx context.Context, verb string, body []byte) ([]byte, error) {
	addresses := a.broker.options.ControlAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if a.preferredNode != "" {
		addresses = append([]string{a.preferredNode}, addresses...)
	}
	failures := []error{errors.New("no node acknowledged")}
	for _, address := range addresses {
		answer, err := a.call(ctx, address, verb, body)
		if err == nil {
			return answer, nil
		}
		if address == a.preferredNode {
			a.preferredNode = ""
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}

// call calls one node, and returns the body of its acknowledgement.
func (a *announcer) call(ctx context.Context, address, verb string, body []byte) ([]byte, error) {
	url := fmt.Sprintf("http://%s/kestrelspread/instances/%s/%s", a.broker.options.ReachedAt(address), a.broker.id, verb)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := a.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAckBytes+1))
	switch {
	case err != nil:
		return nil, err
	case answer.StatusCode/100 != 2:
		return nil, fmt.Errorf("%s: status %d", address, answer.StatusCode)
	case len(text) > maxAckBytes:
		return nil, fmt.Errorf("%s: an acknowledgement of over %d bytes", address, maxAckBytes)
	}
	return text, nil
}

// drain sends heartbeats until one is acknowledged, and returns the time of that.
func (a *announcer) drain(ctx context.Context) (time.Time, error) {
	for {
		acknowledgedAt, err := a.announce(ctx)
		if err == nil {
			return acknowledgedAt, nil
		}
		if !sleep(ctx, retryBackoff) {
			return time.Time{}, errors.Join(err, ctx.Err())
		}
	}
}

// errDeregistered says that a broker sends no heartbeat any more.
var errDeregistered = errors.New("llmbroker: the broker deregisters")

// deregister deregisters the broker, with retries until that is acknowledged, and returns the time of that.
func (a *announcer) deregister(ctx context.Context) (time.Time, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.deregistering = true
	for {
		_, err := a.callAny(ctx, "deregister", []byte("{}"))
		if err == nil {
			return time.Now(), nil
		}
		if !sleep(ctx, retryBackoff) {
			return time.Time{}, errors.Join(err, ctx.Err())
		}
	}
}
