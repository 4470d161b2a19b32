package controlapi_test

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"kestrelspread/internal/node/controlapi"
	"kestrelspread/internal/node/nodepb"
)

// goldenBackend records what reaches it as encoded messages, and answers as the test says.
type goldenBackend struct {
	reached []string
	url     string
	result  *nodepb.CommandResult
	fetched string
	err     error
}

func (b *goldenBackend) record(kind string, message proto.Message) {
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	b.reached = append(b.reached, kind+" "+hex.EncodeToString(encoded))
}

func (b *goldenBackend) Heartbeat(_ context.Context, instance *nodepb.Instance) (controlapi.HeartbeatAnswer, error) {
	b.record("heartbeat", instance)
	return controlapi.HeartbeatAnswer{HeartbeatURL: b.url}, b.err
}

func (b *goldenBackend) Deregister(_ context.Context, id string) error {
	b.reached = append(b.reached, "deregister "+id)
	return b.err
}

func (b *goldenBackend) Submit(_ context.Context, command *nodepb.Command) (*nodepb.CommandResult, error) {
	b.record("submit", command)
	return b.result, b.err
}

func (b *goldenBackend) Fetch(context.Context) ([]byte, error) { return []byte(b.fetched), b.err }

func (b *goldenBackend) Status() any { return map[string]any{"node": "front-b-2", "ready": true} }

// goldenResult is an answer of the chain, by the field numbers of the schema.
func goldenResult(t *testing.T, code uint64, text string, version uint64) *nodepb.CommandResult {
	t.Helper()
	encoded := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), code)
	encoded = protowire.AppendString(protowire.AppendTag(encoded, 2, protowire.BytesType), text)
	encoded = protowire.AppendVarint(protowire.AppendTag(encoded, 3, protowire.VarintType), 77)
	encoded = protowire.AppendVarint(protowire.AppendTag(encoded, 4, protowire.VarintType), version)
	result := new(nodepb.CommandResult)
	assert.NilError(t, proto.Unmarshal(encoded, result))
	return result
}

// ownWording finds the texts of errors that the handler words itself; those that come from the backend are kept.
var ownWording = regexp.MustCompile(`"error":"(?:[^"\\]|\\.)*"`)

// goldenCall is a call of the control address and what the backend answers to it.
type goldenCall struct {
	method, path, body string
	header             http.Header
	backend            goldenBackend
	ownError           bool // the handler words the error itself
}

// goldenCalls has each kind of call, and each of its results.
func goldenCalls(t *testing.T) []goldenCall {
	t.Helper()
	const (
		heartbeat = "/kestrelspread/instances/i-5b/heartbeat"
		full      = `{"service":"s1","address":"10.9.0.4:8080","zone":"b","version":"v3","slots":16,"state":"ready",` +
			`"coldRemainingMs":250,"stage":"both","models":[{"name":"m1","version":2,"adapters":["x","y"]}],"sequence":4,"new":1}`
		replace = "/kestrelspread/config/replace"
		update  = "/kestrelspread/config/update"
		named   = "/kestrelspread/version-put"
	)
	base := http.Header{"X-Kestrelspread-Base-Version": {"41"}}
	taken := goldenResult(t, 1, "", 42)
	unavailable := errors.New("the home does not answer")
	return []goldenCall{
		{method: "POST", path: heartbeat, body: full, backend: goldenBackend{url: "10.1.0.2:8102"}},
		{method: "POST", path: heartbeat, body: `{"service":"s1","address":"10.9.0.4:8080","state":"draining","sequence":5}`},
		{method: "POST", path: "/kestrelspread/instances/a%2Fb/heartbeat", body: full},
		{method: "POST", path: heartbeat, body: full, backend: goldenBackend{err: unavailable}},
		{method: "POST", path: heartbeat, body: `{"service":7}`, ownError: true},
		{method: "POST", path: heartbeat, body: strings.Repeat(" ", 65<<10), ownError: true},
		{method: "POST", path: "/kestrelspread/instances/i-5b/deregister"},
		{method: "POST", path: "/kestrelspread/instances/i-5b/deregister", backend: goldenBackend{err: unavailable}},
		{method: "POST", path: replace, body: `{"version":42}`, header: base, backend: goldenBackend{result: taken}},
		{method: "POST", path: update, body: `{"version":42}`, header: base, backend: goldenBackend{result: taken}},
		{method: "POST", path: update, body: `{"version":42}`, header: base, backend: goldenBackend{result: goldenResult(t, 2, "based on 41", 43)}},
		{method: "POST", path: update, body: `{"version":42}`, header: base, backend: goldenBackend{result: goldenResult(t, 3, "routes[0].kind: unknown", 41)}},
		{method: "POST", path: update, body: `{"version":42}`, header: base, backend: goldenBackend{result: goldenResult(t, 4, "no chain", 0)}},
		{method: "POST", path: update, body: `{"version":42}`, header: base, backend: goldenBackend{result: goldenResult(t, 5, "too large", 41)}},
		{method: "POST", path: update, body: `{"version":42}`, header: base, backend: goldenBackend{result: goldenResult(t, 0, "not told", 0)}},
		{method: "POST", path: update, body: `{"version":42}`, header: base, backend: goldenBackend{err: unavailable}},
		{method: "POST", path: update, body: `{"version":42}`, ownError: true},
		{method: "POST", path: named, body: `{"model":"m1","version":3}`, backend: goldenBackend{result: goldenResult(t, 1, "", 3)}},
		{method: "POST", path: named, body: `{"model":"m1"}`, ownError: true},
		{method: "POST", path: named, body: `{"version":3}`, ownError: true},
		{method: "GET", path: "/kestrelspread/config/fetch", backend: goldenBackend{fetched: `{"version":42,"routes":[]}`}},
		{method: "GET", path: "/kestrelspread/config/fetch", ownError: true},
		{method: "GET", path: "/kestrelspread/config/fetch", backend: goldenBackend{err: unavailable}},
		{method: "GET", path: "/kestrelspread/status"},
		{method: "GET", path: "/kestrelspread/nothing"},
	}
}

// write makes the call and writes what reached the backend, and the answer.
func (c *goldenCall) write(text io.Writer) {
	request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
	for name, values := range c.header {
		request.Header[name] = values
	}
	answer := httptest.NewRecorder()
	options := controlapi.Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	controlapi.Handler(&c.backend, options).ServeHTTP(answer, request)
	fmt.Fprintf(text, "%s %s %s\n", c.method, c.path, strings.TrimSpace(c.body))
	for _, reached := range c.backend.reached {
		fmt.Fprintf(text, "  reached: %s\n", reached)
	}
	body := answer.Body.String()
	if c.ownError {
		body = ownWording.ReplaceAllString(body, `"error":"*"`)
	}
	fmt.Fprintf(text, "  answer: %d type=%q retry=%q %s\n", answer.Code, answer.Header().Get("Content-Type"),
		answer.Header().Get("Retry-After"), strings.TrimSpace(body))
}

// TestBodiesKeepTheirBytes freezes the calls of the control address: what reaches the backend, its
// ids of commands among it, and status, headers and bodies of the answers. The wording of the
// handler's own errors is free.
func TestBodiesKeepTheirBytes(t *testing.T) {
	var text strings.Builder
	for _, call := range goldenCalls(t) {
		call.write(&text)
	}
	golden.Assert(t, text.String(), "golden/bodies.txt")
}

// TestReadinessKeepsItsAnswers freezes the platform's check.
func TestReadinessKeepsItsAnswers(t *testing.T) {
	for ready, status := range map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable} {
		answer := httptest.NewRecorder()
		handler := controlapi.ReadinessHandler(func() bool { return ready })
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/kestrelspread/readyz", nil))
		assert.Equal(t, answer.Code, status)
	}
}
