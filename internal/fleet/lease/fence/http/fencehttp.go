// Package fencehttp brings effects to a receiver over HTTP. The receiver keeps the highest token of each duty and the keys it has had,
// and answers 200 with whether it had the effect, or 409 where a newer owner has been there. Anything else, or nothing, says
// nothing: the effect is offered again, and its key makes that harmless.
package fencehttp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"kestrelspread/internal/fleet/lease/fence"
)

// Receiver is one, as seen from here.
type Receiver struct {
	URL    string
	client http.Client
}

const (
	requestTimeout      = 5 * time.Second
	maxReplyBytes       = 4 << 10
	maxIdleConnsPerHost = 32 // connections that are kept: with two, as the library has it, nearly each effect opened one of its own
)

// New makes one.
func New(url string) *Receiver {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = maxIdleConnsPerHost
	return &Receiver{URL: url, client: http.Client{Timeout: requestTimeout, Transport: t}}
}

// Reply is what a receiver says.
type Reply struct {
	Done  bool   `json:"done"`
	Token uint64 `json:"token"` // the highest it has seen
}

// Apply offers an effect (fence.Receiver).
func (r *Receiver) Apply(e fence.Effect) (done bool, err error) {
	b, err := json.Marshal(e)
	if err != nil {
		return false, err
	}
	q, err := http.NewRequest("POST", r.URL, bytes.NewReader(b))
	if err != nil {
		return false, err
	}
	q.GetBody = nil // the library does not offer it again by itself
	q.Header.Set("Content-Type", "application/json")
	resp, err := r.client.Do(q)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return false, err
	}
	var says Reply
	if err := json.Unmarshal(text, &says); err != nil && (resp.StatusCode == 200 || resp.StatusCode == 409) {
		return false, fmt.Errorf("the receiver's answer: %w", err)
	}
	switch {
	case resp.StatusCode == 200 && says.Token >= e.Token:
		return says.Done, nil
	case resp.StatusCode == 409 && says.Token > e.Token:
		return false, fmt.Errorf("%w: with token %d, this one has %d", fence.ErrStaleToken, says.Token, e.Token)
	}
	return false, fmt.Errorf("the receiver answers %s, token %d", resp.Status, says.Token)
}

var _ fence.Receiver = (*Receiver)(nil)
