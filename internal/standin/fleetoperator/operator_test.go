package fleetoperator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/standin/llmbroker"
)

const testTimeout = 20 * time.Second

// node answers calls by its script, one entry a call; the last one is repeated.
type node struct {
	mutex  sync.Mutex
	script []func(http.ResponseWriter, *http.Request)
	calls  []string
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n.mutex.Lock()
	n.calls = append(n.calls, fmt.Sprintf("%s %s %s %s", r.Method, r.URL.Path, r.Header.Get(headerBaseVersion), body))
	act := n.script[0]
	if len(n.script) > 1 {
		n.script = n.script[1:]
	}
	n.mutex.Unlock()
	act(w, r)
}

func status(code int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// loseAnswer accepts the call and loses the answer.
func loseAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func operatorOf(t *testing.T, script ...func(http.ResponseWriter, *http.Request)) (*Operator, *node) {
	t.Helper()
	n := &node{script: script}
	server := httptest.NewServer(n)
	t.Cleanup(server.Close)
	o := New(func() []string { return []string{strings.TrimPrefix(server.URL, "http://")} }, nil)
	t.Cleanup(o.Close)
	return o, n
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

var firstConfiguration = Configuration{
	Version:  3,
	Routes:   []config.Route{{Name: "r", Host: "h.example", PathPrefix: "/a/", Kind: config.KindSafe, TimeoutMs: 1000, Service: "s"}},
	Services: []config.Service{{Name: "s"}},
}

// Source: PROTOCOL.md, "The operator's API": what ends a call, and what is retried.
func TestFinalAnswersEndACall(t *testing.T) {
	for _, test := range []struct {
		name   string
		script []func(http.ResponseWriter, *http.Request)
		kind   error // nil: acknowledged
		calls  int
	}{
		{"accepted", []func(http.ResponseWriter, *http.Request){status(200)}, nil, 1},
		{"503 first", []func(http.ResponseWriter, *http.Request){status(503), status(200)}, nil, 2},
		{"408 and 429 first", []func(http.ResponseWriter, *http.Request){status(408), status(429), status(408), status(200)}, nil, 4},
		{"answer lost", []func(http.ResponseWriter, *http.Request){loseAnswer, status(200)}, nil, 2},
		{"412", []func(http.ResponseWriter, *http.Request){status(412)}, ErrConflict, 1},
		{"400", []func(http.ResponseWriter, *http.Request){status(400)}, ErrRejected, 1},
		{"409", []func(http.ResponseWriter, *http.Request){status(409)}, ErrRejected, 1},
		{"404 twice", []func(http.ResponseWriter, *http.Request){status(404), status(404), status(200)}, nil, 3},
		{"404 three times", []func(http.ResponseWriter, *http.Request){status(404)}, ErrRejected, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			o, n := operatorOf(t, test.script...)
			_, err := o.Replace(testContext(t), 0, firstConfiguration)
			if test.kind == nil {
				assert.NilError(t, err)
				assert.Equal(t, o.Current().Version, uint64(3))
			} else {
				assert.Assert(t, errors.Is(err, test.kind), "%v", err)
				assert.Equal(t, len(o.Acknowledged()), 0)
			}
			assert.Equal(t, len(n.calls), test.calls)
			for _, call := range n.calls {
				assert.Equal(t, call, n.calls[0], "the same call is sent again")
			}
		})
	}
}

func TestRedirectsAreFollowed(t *testing.T) {
	o, n := operatorOf(t, status(200))
	redirecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+o.sender.control()[0]+r.URL.Path, http.StatusTemporaryRedirect)
	}))
	t.Cleanup(redirecting.Close)
	through := New(func() []string { return []string{strings.TrimPrefix(redirecting.URL, "http://")} }, nil)
	t.Cleanup(through.Close)
	_, err := through.Replace(testContext(t), 7, firstConfiguration)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(n.calls[0], "POST /kestrelspread/config/replace 7 {"), n.calls[0])
}

func TestChangeWithoutAnswerIsUnclear(t *testing.T) {
	o, _ := operatorOf(t, status(503))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := o.Replace(ctx, 0, firstConfiguration)
	assert.Assert(t, errors.Is(err, ErrUnclear), "%v", err)
}

func TestVersionIsPublishedToBrokersFirst(t *testing.T) {
	o, n := operatorOf(t, status(503), status(200))
	o.weights = llmbroker.NewWeights()
	_, err := o.PutVersion(testContext(t), "m", 2)
	assert.NilError(t, err)
	assert.Equal(t, o.weights.Newest("m"), uint64(2))
	assert.Equal(t, n.calls[1], `POST /kestrelspread/version-put  {"model":"m","version":2}`)
}

// Source: RULES.md, CONFIG.
func TestCheckReadBackDetectsLostChanges(t *testing.T) {
	second := firstConfiguration.Apply(Update{
		Version: 5,
		Upsert:  Items{Routes: []config.Route{{Name: "r", Host: "h.example", PathPrefix: "/b/", TimeoutMs: 1, Service: "s"}, {Name: "new"}}},
		Remove:  Names{Services: []string{"gone"}},
	})
	assert.Equal(t, len(second.Routes), 2)
	assert.Equal(t, second.Routes[0].PathPrefix, "/b/")
	assert.Equal(t, firstConfiguration.Routes[0].PathPrefix, "/a/")
	changed := second
	changed.Services = nil
	for _, test := range []struct {
		name string
		read Configuration
		lost bool
	}{
		{"as acknowledged", second, false},
		{"an older one", firstConfiguration, true},
		{"another under the same number", changed, true},
		{"one never sent", Configuration{Version: 9}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			text, err := json.Marshal(test.read)
			assert.NilError(t, err)
			o, _ := operatorOf(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(text) })
			o.record(Acknowledgement{Configuration: firstConfiguration})
			o.record(Acknowledgement{Configuration: second})
			err = o.CheckReadBack(testContext(t))
			assert.Equal(t, errors.Is(err, ErrLost), test.lost, "%v", err)
		})
	}
}
