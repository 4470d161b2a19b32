package controlapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
)

// retryAfter is the Retry-After of a 503, in seconds. It is short, as another node may have the result.
const retryAfter = "0.2"

// maxPreallocatedBytes bounds the memory allocated for a body by its stated length
// alone, before any of it has arrived.
const maxPreallocatedBytes = 256 << 10

// requestError is the response to a request that is rejected without a call of the Backend.
type requestError struct {
	status int    // of HTTP
	text   string // names the field and the problem
}

// errorReply is the body of the response to a request that was not executed.
type errorReply struct {
	Error string `json:"error"`
}

func badRequest(text string) *requestError {
	return &requestError{status: http.StatusBadRequest, text: text}
}

func (e *requestError) write(w http.ResponseWriter) {
	writeJSON(w, e.status, errorReply{Error: e.text})
}

// readBody reads a body of up to limit bytes. A longer one is a 413; one that ends before its stated
// length is a 400; one that arrives too slowly is a 408, so that its sender tries another node.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *requestError) {
	if r.ContentLength > limit {
		text := "body: is longer than " + strconv.FormatInt(limit, 10) + " bytes"
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, text: text}
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(min(r.ContentLength, maxPreallocatedBytes)) + bytes.MinRead)
	}
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body.Bytes(), nil
	}
	return nil, bodyError(err)
}

// bodyError maps an error of reading a body to its response.
func bodyError(err error) *requestError {
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &tooLarge):
		return &requestError{status: http.StatusRequestEntityTooLarge, text: "body: " + err.Error()}
	case errors.As(err, &network) && network.Timeout():
		return &requestError{status: http.StatusRequestTimeout, text: "body: " + err.Error()}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return badRequest("body: is cut short")
	default:
		return badRequest("body: " + err.Error())
	}
}

// writeUnavailable responds that this node has no result, and when to retry.
func writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", retryAfter)
	writeJSON(w, http.StatusServiceUnavailable, errorReply{Error: reason})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has disconnected retries
}
