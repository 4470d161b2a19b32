package feed

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/kvindex"
	"kestrelspread/internal/node/netmap"
)

// outcome holds the arguments with which the poller reported the result of a call.
type outcome struct {
	token  uint64
	events *kvindex.Events
	err    error
}

// fetch makes a call to a server with the handler, and returns its result.
func fetch(t *testing.T, handler http.HandlerFunc, call core.FetchEvents) outcome {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	done := make(chan outcome, 1)
	poller := New(netmap.Map{}, func(token uint64, events *kvindex.Events, err error) { done <- outcome{token, events, err} })
	defer poller.Close()
	call.Address = strings.TrimPrefix(server.URL, "http://")
	poller.Fetch(call)
	return <-done
}

// The request must have the form of PROTOCOL.md, "KV cache".
func TestFetchSendsRequestOfProtocol(t *testing.T) {
	got := fetch(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Method == http.MethodGet)
		assert.Check(t, r.URL.RequestURI() == "/kestrelspread/kv-events?since=118", r.URL)
		assert.Check(t, r.Header.Get("Wait-Ms") == "800")
		assert.Check(t, r.Header.Get("X-Kestrelspread-Expect-Instance") == "i-1")
		_, _ = w.Write([]byte(`{"epoch":7,"nextPageToken":119,"lost":false,"events":[[119,"+","s1","5c1e07a2",800,"m"]]}`))
	}, core.FetchEvents{Token: 3, Instance: "i-1", Since: 118, Wait: 800 * time.Millisecond})
	assert.NilError(t, got.err)
	assert.Equal(t, got.token, uint64(3))
	assert.Equal(t, got.events.Next, uint64(119))
	assert.Equal(t, got.events.List[0].Part, uint64(0x5c1e07a2))
}

func TestFetchRejectsOtherResponses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"too many calls": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) },
		"another broker": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) },
		"redirect":       func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Location", "/"); w.WriteHeader(307) },
		"truncated":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"epoch":7,"eve`)) },
		"bad event":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"events":[[1]]}`)) },
	} {
		t.Run(name, func(t *testing.T) {
			got := fetch(t, handler, core.FetchEvents{Token: 1, Wait: time.Second})
			assert.Assert(t, got.err != nil)
			assert.Assert(t, got.events == nil)
		})
	}
}
