// Package fencehttp brings effects to a fenced receiver over HTTP. The receiver keeps the highest
// token of each role and the keys of the effects done. It answers 200 with whether the effect had
// been done, or 409 where a higher token has been seen. Any other answer, or none, says nothing:
// the effect is offered again, and its key makes that harmless.
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

// Receiver is a receiver at a URL. Its methods may be called concurrently.
type Receiver struct {
	URL    string
	client http.Client
}

var _ fence.Receiver = (*Receiver)(nil)

const (
	requestTimeout = 5 * time.Second
	maxReplyBytes  = 4 << 10
	// maxIdleConnsPerHost is above the library's two, with which nearly each effect opened a
	// connection of its own.
	maxIdleConnsPerHost = 32
)

// New returns a receiver at a URL; nothing is sent yet.
func New(url string) *Receiver {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	return &Receiver{URL: url, client: http.Client{Timeout: requestTimeout, Transport: transport}}
}

// Reply is the body of an answer.
type Reply struct {
	Done  bool   `json:"done"`
	Token uint64 `json:"token"` // the highest seen
}

// Apply offers an effect (fence.Receiver).
func (r *Receiver) Apply(e fence.Effect) (done bool, err error) {
	resp, err := r.post(e)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return false, err
	}
	var reply Reply
	err = json.Unmarshal(text, &reply)
	judged := resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusConflict
	if err != nil && judged {
		return false, fmt.Errorf("the receiver's answer: %w", err)
	}
	switch {
	case resp.StatusCode == http.StatusOK && reply.Token >= e.Token:
		return reply.Done, nil
	case resp.StatusCode == http.StatusConflict && reply.Token > e.Token:
		return false, fmt.Errorf("%w: with token %d, this one has %d", fence.ErrStaleToken, reply.Token, e.Token)
	}
	return false, fmt.Errorf("the receiver answers %s, token %d", resp.Status, reply.Token)
}

// post sends an effect once.
func (r *Receiver) post(e fence.Effect) (*http.Response, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, r.URL, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // the library must not offer it again by itself
	request.Header.Set("Content-Type", "application/json")
	return r.client.Do(request)
}
