package controlapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

const configExample = `{"version":7,"routes":[]}`

func taken(version uint64) *nodepb.CommandResult {
	return &nodepb.CommandResult{Code: nodepb.ResultCode_TAKEN, Version: version}
}

func TestChangeIsSubmittedAsSent(t *testing.T) {
	cases := []struct {
		path string
		base string
		body string
		want *nodepb.ConfigChange
	}{
		{pathReplace, "0", configExample, &nodepb.ConfigChange{Replace: true, Body: []byte(configExample)}},
		{pathReplace, "5", configExample, &nodepb.ConfigChange{Replace: true, BaseVersion: 5, Body: []byte(configExample)}},
		{pathUpdate, "7", ` {"version" : 9} `, &nodepb.ConfigChange{BaseVersion: 7, Body: []byte(` {"version" : 9} `)}},
		// What can't be read is for the chain's head to turn down.
		{pathReplace, "5", `{"version":7,"rou`, &nodepb.ConfigChange{Replace: true, BaseVersion: 5, Body: []byte(`{"version":7,"rou`)}},
		{pathReplace, "5", ``, &nodepb.ConfigChange{Replace: true, BaseVersion: 5}},
	}
	for _, c := range cases {
		backend := &fakeBackend{result: taken(9)}
		answer := call(t, backend, Options{}, post(c.path, c.body, headerBaseVersion, c.base))
		assert.Equal(t, answer.Code, http.StatusOK)
		assert.Equal(t, answer.Body.String(), `{"version":9}`)
		assert.Equal(t, len(backend.commands), 1)
		got := backend.commands[0].GetConfigChange()
		assert.Assert(t, proto.Equal(got, c.want), "%v", got)
	}
}

// TestChangeResultsMapToStatuses is PROTOCOL.md's table: 200 | 412 (another version is in place) | 400 (invalid), and 503 for
// whatever the chain did not say.
func TestChangeResultsMapToStatuses(t *testing.T) {
	cases := []struct {
		name   string
		result *nodepb.CommandResult
		err    error
		status int
		body   string
	}{
		{"taken", taken(7), nil, http.StatusOK, `{"version":7}`},
		{"conflict", &nodepb.CommandResult{Code: nodepb.ResultCode_CONFLICT, Text: "version 6 is current", Version: 6}, nil,
			http.StatusPreconditionFailed, `{"version":6,"error":"version 6 is current"}`},
		{"too large", &nodepb.CommandResult{Code: nodepb.ResultCode_TOO_LARGE, Text: "these machines hold 5000000", Version: 6}, nil,
			http.StatusRequestEntityTooLarge, `{"version":6,"error":"these machines hold 5000000"}`},
		{"invalid", &nodepb.CommandResult{Code: nodepb.ResultCode_INVALID, Text: `routes[0].timeoutMs: is 0`, Version: 6}, nil,
			http.StatusBadRequest, `{"version":6,"error":"routes[0].timeoutMs: is 0"}`},
		{"unavailable", &nodepb.CommandResult{Code: nodepb.ResultCode_UNAVAILABLE, Text: "no chain"}, nil,
			http.StatusServiceUnavailable, `{"error":"no chain"}`},
		{"unknown", &nodepb.CommandResult{}, nil, http.StatusServiceUnavailable, `{"error":""}`},
		{"none", nil, nil, http.StatusServiceUnavailable, `{"error":""}`},
		{"error", nil, errElsewhere, http.StatusServiceUnavailable, `{"error":"the home does not answer"}`},
	}
	orders := []*http.Request{}
	for _, c := range cases {
		orders = append(orders[:0],
			post(pathReplace, configExample, headerBaseVersion, "6"),
			post(pathUpdate, configExample, headerBaseVersion, "6"),
			post(pathVersionPut, `{"model":"m1","version":2}`),
		)
		for _, order := range orders {
			answer := call(t, &fakeBackend{result: c.result, err: c.err}, Options{}, order)
			assert.Equal(t, answer.Code, c.status, c.name)
			assert.Equal(t, answer.Body.String(), c.body, c.name)
			if c.status == http.StatusServiceUnavailable {
				assertUnavailable(t, answer)
			}
		}
	}
}

func TestChangeWithoutResultIsUnavailable(t *testing.T) {
	backend := &fakeBackend{waits: true}
	order := post(pathReplace, configExample, headerBaseVersion, "6")
	assertUnavailable(t, call(t, backend, Options{CallTimeout: shortTimeout}, order))
}

func TestBaseVersionHeaderIsValidated(t *testing.T) {
	cases := []struct {
		value  string
		status int
	}{
		{"0", http.StatusOK},
		{"18446744073709551615", http.StatusOK},
		{"", http.StatusBadRequest},
		{"seven", http.StatusBadRequest},
		{"-1", http.StatusBadRequest},
		{"1.5", http.StatusBadRequest},
		{"18446744073709551616", http.StatusBadRequest},
	}
	for _, path := range []string{pathReplace, pathUpdate} {
		for _, c := range cases {
			backend := &fakeBackend{result: taken(7)}
			order := post(path, configExample, headerBaseVersion, c.value)
			if c.value == "" {
				order.Header.Del(headerBaseVersion)
			}
			assert.Equal(t, call(t, backend, Options{}, order).Code, c.status, c.value)
			assert.Equal(t, len(backend.commands) == 1, c.status == http.StatusOK, c.value)
		}
	}
}

func TestBodyLimitsAreEnforced(t *testing.T) {
	limit := int64(100)
	for _, c := range []struct {
		length  int
		chunked bool
		status  int
	}{
		{100, false, http.StatusOK},
		{101, false, http.StatusRequestEntityTooLarge},
		{100, true, http.StatusOK},
		{101, true, http.StatusRequestEntityTooLarge},
	} {
		order := post(pathReplace, strings.Repeat(" ", c.length), headerBaseVersion, "0")
		if c.chunked {
			order.ContentLength = -1
		}
		answer := call(t, &fakeBackend{result: taken(7)}, Options{MaxBodyBytes: limit}, order)
		assert.Equal(t, answer.Code, c.status, "%d bytes", c.length)
	}
}

func TestRepeatedCommandHasSameID(t *testing.T) {
	orders := []struct {
		path, base, body string
	}{
		{pathReplace, "5", `{"version":7}`},
		{pathReplace, "6", `{"version":7}`},
		{pathReplace, "5", `{"version":8}`},
		{pathUpdate, "5", `{"version":7}`},
		{pathVersionPut, "", `{"model":"m1","version":2}`},
		{pathVersionPut, "", `{"model":"m1","version":3}`},
		{pathVersionPut, "", `{"model":"m2","version":2}`},
	}
	seen := map[string]bool{}
	for _, order := range orders {
		backend := &fakeBackend{result: taken(7)}
		for range 2 {
			call(t, backend, Options{}, post(order.path, order.body, headerBaseVersion, order.base))
		}
		assert.Equal(t, len(backend.commands), 2)
		id := backend.commands[0].GetId()
		assert.Equal(t, id, backend.commands[1].GetId())
		assert.Equal(t, len(id), 2*commandIDBytes)
		assert.Assert(t, !seen[id])
		seen[id] = true
	}
}

func TestModelVersionIsSubmitted(t *testing.T) {
	backend := &fakeBackend{result: taken(2)}
	answer := call(t, backend, Options{}, post(pathVersionPut, `{"model":"m1","version":2,"new":true}`))
	assert.Equal(t, answer.Code, http.StatusOK)
	got := backend.commands[0].GetModelVersion()
	assert.Assert(t, proto.Equal(got, &nodepb.ModelVersionChange{Model: "m1", Version: 2}), "%v", got)
}

func TestMalformedModelVersionIsRejected(t *testing.T) {
	for _, body := range []string{
		``, `[]`, `{}`, `{"model":"m1"}`, `{"version":2}`, `{"model":"","version":2}`, `{"model":"m1","version":0}`,
		`{"model":"m1","version":-1}`, `{"model":"m1","version":1.5}`, `{"model":7,"version":2}`, `{"model":"m1","version":2`,
	} {
		backend := &fakeBackend{result: taken(2)}
		answer := call(t, backend, Options{}, post(pathVersionPut, body))
		assert.Equal(t, answer.Code, http.StatusBadRequest, body)
		assert.Equal(t, len(backend.commands), 0, body)
	}
}

func TestFetch(t *testing.T) {
	answer := call(t, &fakeBackend{fetched: []byte(configExample)}, Options{}, get(pathFetch))
	assert.Equal(t, answer.Code, http.StatusOK)
	assert.Equal(t, answer.Header().Get("Content-Type"), "application/json")
	assert.Equal(t, answer.Body.String(), configExample)

	assertUnavailable(t, call(t, &fakeBackend{}, Options{}, get(pathFetch)))
	assertUnavailable(t, call(t, &fakeBackend{err: errElsewhere}, Options{}, get(pathFetch)))
	assertUnavailable(t, call(t, &fakeBackend{waits: true}, Options{CallTimeout: shortTimeout}, get(pathFetch)))
}

func TestStatus(t *testing.T) {
	answer := call(t, &fakeBackend{}, Options{}, get(pathStatus))
	assert.Equal(t, answer.Code, http.StatusOK)
	assert.Equal(t, answer.Body.String(), `{"node":"front-b-2"}`)
}

func TestUnknownPathsAndMethodsAreRejected(t *testing.T) {
	for _, c := range []struct {
		request *http.Request
		status  int
	}{
		{get("/"), http.StatusNotFound},
		{get("/kestrelspread/config"), http.StatusNotFound},
		{post("/kestrelspread/instances/i-5b", ""), http.StatusNotFound},
		{get(heartbeatPath), http.StatusMethodNotAllowed},
		{get(pathReplace), http.StatusMethodNotAllowed},
		{post(pathFetch, ""), http.StatusMethodNotAllowed},
	} {
		answer := call(t, &fakeBackend{}, Options{}, c.request)
		assert.Equal(t, answer.Code, c.status, c.request.URL.Path)
	}
}

func TestReadiness(t *testing.T) {
	ready := false
	handler := ReadinessHandler(func() bool { return ready })
	for _, c := range []struct {
		ready  bool
		path   string
		status int
	}{
		{true, pathReadiness, http.StatusOK},
		{false, pathReadiness, http.StatusServiceUnavailable},
		{true, "/", http.StatusNotFound},
	} {
		ready = c.ready
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, get(c.path))
		assert.Equal(t, answer.Code, c.status)
	}
}
