package controlapi

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

var errElsewhere = errors.New("the home does not answer")

// fakeBackend records the calls that reach it and gives the answers it was told to.
type fakeBackend struct {
	mutex        sync.Mutex
	instances    []*nodepb.Instance
	deregistered []string
	commands     []*nodepb.Command

	heartbeatURL string
	result       *nodepb.CommandResult
	fetched      []byte
	err          error
	// waits: calls wait for the end of their context.
	waits bool
}

func (b *fakeBackend) end(ctx context.Context) error {
	if b.waits {
		<-ctx.Done()
		return ctx.Err()
	}
	return b.err
}

func (b *fakeBackend) Heartbeat(ctx context.Context, instance *nodepb.Instance) (HeartbeatAnswer, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.instances = append(b.instances, instance)
	return HeartbeatAnswer{HeartbeatURL: b.heartbeatURL}, b.end(ctx)
}

func (b *fakeBackend) Deregister(ctx context.Context, id string) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.deregistered = append(b.deregistered, id)
	return b.end(ctx)
}

func (b *fakeBackend) Submit(ctx context.Context, command *nodepb.Command) (*nodepb.CommandResult, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.commands = append(b.commands, command)
	return b.result, b.end(ctx)
}

func (b *fakeBackend) Fetch(ctx context.Context) ([]byte, error) { return b.fetched, b.end(ctx) }

func (b *fakeBackend) Status() any { return map[string]string{"node": "front-b-2"} }

// quiet is a log that nobody reads.
func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// call sends one call to a handler in front of the backend.
func call(t *testing.T, backend Backend, options Options, request *http.Request) *httptest.ResponseRecorder {
	t.Helper()
	options.Log = quiet()
	answer := httptest.NewRecorder()
	Handler(backend, options).ServeHTTP(answer, request)
	return answer
}

// post makes a call with a body; headers are pairs of name and value.
func post(path, body string, headers ...string) *http.Request {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

func get(path string) *http.Request { return httptest.NewRequest(http.MethodGet, path, nil) }

// assertUnavailable checks a 503 after which the caller goes on to another node.
func assertUnavailable(t *testing.T, answer *httptest.ResponseRecorder) {
	t.Helper()
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, answer.Header().Get("Retry-After"), retryAfter)
}

// shortTimeout is for backends that wait for the end of their context.
const shortTimeout = time.Millisecond
