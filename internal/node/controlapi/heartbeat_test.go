package controlapi

import (
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/nodepb"
)

const (
	heartbeatPath  = "/kestrelspread/instances/i-5b/heartbeat"
	deregisterPath = "/kestrelspread/instances/i-5b/deregister"
	// heartbeatExample has all fields of PROTOCOL.md, "Service discovery".
	heartbeatExample = `{"service":"s1","address":"10.9.0.4:8080","zone":"b","version":"v3","slots":16,"state":"ready",` +
		`"coldRemainingMs":250,"stage":"both","models":[{"name":"m1","version":2,"adapters":["x"]}],"sequence":4}`
)

func TestHeartbeatIsDecodedForBackend(t *testing.T) {
	cases := []struct {
		name string
		body string
		want *nodepb.Instance
	}{
		{"all fields", heartbeatExample, &nodepb.Instance{
			Id: "i-5b", Service: "s1", Address: "10.9.0.4:8080", Zone: "b", Software: "v3", Slots: 16,
			State: nodepb.InstanceState_READY, WarmUpRemainingMs: 250, Sequence: 4, Stage: "both",
			Models: []*nodepb.ModelOnInstance{{Name: "m1", Version: 2, Adapters: []string{"x"}}},
		}},
		{"no engine, draining", `{"service":"s1","address":"10.9.0.4:8080","state":"draining","sequence":5}`, &nodepb.Instance{
			Id: "i-5b", Service: "s1", Address: "10.9.0.4:8080", State: nodepb.InstanceState_DRAINING, Sequence: 5,
		}},
		{"unknown fields", `{"service":"s1","address":"10.9.0.4:8080","state":"ready","sequence":1,"new":{"a":[1]}}`, &nodepb.Instance{
			Id: "i-5b", Service: "s1", Address: "10.9.0.4:8080", Sequence: 1,
		}},
		{"fractions and what is out of range",
			`{"service":"s1","address":"10.9.0.4:8080","state":"ready","sequence":1,"slots":1e12,"coldRemainingMs":0.2}`,
			&nodepb.Instance{
				Id: "i-5b", Service: "s1", Address: "10.9.0.4:8080", Sequence: 1, Slots: 1<<32 - 1, WarmUpRemainingMs: 1,
			}},
		{"texts of another form", `{"service":"s1","address":"10.9.0.4:8080","state":"ready","sequence":1,"version":3,` +
			`"models":[{"name":"m1","version":1,"adapters":["x",{"name":"y"}]}]}`, &nodepb.Instance{
			Id: "i-5b", Service: "s1", Address: "10.9.0.4:8080", Sequence: 1,
			Models: []*nodepb.ModelOnInstance{{Name: "m1", Version: 1, Adapters: []string{"x"}}},
		}},
	}
	for _, c := range cases {
		backend := &fakeBackend{}
		answer := call(t, backend, Options{}, post(heartbeatPath, c.body))
		assert.Equal(t, answer.Code, http.StatusOK, c.name)
		assert.Equal(t, len(backend.instances), 1, c.name)
		assert.Assert(t, proto.Equal(backend.instances[0], c.want), "%s: %v", c.name, backend.instances[0])
	}
}

func TestHeartbeatResponses(t *testing.T) {
	answer := call(t, &fakeBackend{heartbeatURL: "10.1.0.2:8102"}, Options{}, post(heartbeatPath, heartbeatExample))
	assert.Equal(t, answer.Code, http.StatusOK)
	assert.Equal(t, answer.Header().Get("Content-Type"), "application/json")
	assert.Equal(t, answer.Body.String(), `{"heartbeatUrl":"10.1.0.2:8102"}`)

	answer = call(t, &fakeBackend{}, Options{}, post(heartbeatPath, heartbeatExample))
	assert.Equal(t, answer.Body.String(), `{}`)

	assertUnavailable(t, call(t, &fakeBackend{err: errElsewhere}, Options{}, post(heartbeatPath, heartbeatExample)))
	waiting := Options{CallTimeout: shortTimeout}
	assertUnavailable(t, call(t, &fakeBackend{waits: true}, waiting, post(heartbeatPath, heartbeatExample)))
}

func TestMalformedHeartbeatIsRejected(t *testing.T) {
	cases := map[string]string{
		"no JSON":              `hello`,
		"no object":            `[]`,
		"empty":                ``,
		"cut short":            heartbeatExample[:len(heartbeatExample)/2],
		"two objects":          heartbeatExample + heartbeatExample,
		"no service":           strings.Replace(heartbeatExample, `"service":"s1",`, ``, 1),
		"service of no text":   strings.Replace(heartbeatExample, `"s1"`, `7`, 1),
		"no address":           strings.Replace(heartbeatExample, `"address":"10.9.0.4:8080",`, ``, 1),
		"address without port": strings.Replace(heartbeatExample, `10.9.0.4:8080`, `10.9.0.4`, 1),
		"address of a name":    strings.Replace(heartbeatExample, `10.9.0.4:8080`, `host:8080`, 1),
		"no state":             strings.Replace(heartbeatExample, `"state":"ready",`, ``, 1),
		"unknown state":        strings.Replace(heartbeatExample, `"ready"`, `"gone"`, 1),
		"negative sequence":    strings.Replace(heartbeatExample, `"sequence":4`, `"sequence":-4`, 1),
		"models of no list":    strings.Replace(heartbeatExample, `"models":[`, `"models":7,"m":[`, 1),
	}
	for name, body := range cases {
		backend := &fakeBackend{}
		answer := call(t, backend, Options{}, post(heartbeatPath, body))
		assert.Equal(t, answer.Code, http.StatusBadRequest, name)
		assert.Assert(t, strings.HasPrefix(answer.Body.String(), `{"error":"`), name)
		assert.Equal(t, len(backend.instances), 0, name)
	}
}

func TestOversizedHeartbeatIsRejected(t *testing.T) {
	body := strings.Replace(heartbeatExample, `"s1"`, `"`+strings.Repeat("s", maxSmallBodyBytes)+`"`, 1)
	answer := call(t, &fakeBackend{}, Options{}, post(heartbeatPath, body))
	assert.Equal(t, answer.Code, http.StatusRequestEntityTooLarge)
}

func TestDeregister(t *testing.T) {
	for _, body := range []string{"", "{}", "anything"} {
		backend := &fakeBackend{}
		answer := call(t, backend, Options{}, post(deregisterPath, body))
		assert.Equal(t, answer.Code, http.StatusOK)
		assert.DeepEqual(t, backend.deregistered, []string{"i-5b"})
	}
	assertUnavailable(t, call(t, &fakeBackend{err: errElsewhere}, Options{}, post(deregisterPath, "")))
	waiting := Options{CallTimeout: shortTimeout}
	assertUnavailable(t, call(t, &fakeBackend{waits: true}, waiting, post(deregisterPath, "")))
}

func TestInstanceIDIsUnescapedAndBounded(t *testing.T) {
	cases := []struct {
		inPath string
		id     string // empty: 400 or 404
	}{
		{"i-5b", "i-5b"},
		{"i%2F5b", "i/5b"},
		{"i%205b", "i 5b"},
		{"%C3%A4", "ä"},
		{strings.Repeat("i", maxInstanceIDBytes), strings.Repeat("i", maxInstanceIDBytes)},
		{strings.Repeat("i", maxInstanceIDBytes+1), ""},
		{"", ""},
		{"a/b", ""},
	}
	for _, c := range cases {
		backend := &fakeBackend{}
		answer := call(t, backend, Options{}, post("/kestrelspread/instances/"+c.inPath+"/deregister", ""))
		if c.id == "" {
			assert.Equal(t, answer.Code/100, 4, c.inPath)
			assert.Equal(t, len(backend.deregistered), 0, c.inPath)
			continue
		}
		assert.DeepEqual(t, backend.deregistered, []string{c.id})
	}
}

func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add([]byte(heartbeatExample))
	f.Add([]byte(`{"service":"s1","address":"10.9.0.4:8080","state":"draining","sequence":5}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		instance, problem := decodeHeartbeat("i-5b", body)
		if problem != nil {
			assert.Equal(t, problem.status, http.StatusBadRequest)
			return
		}
		assert.Assert(t, instance.GetService() != "" && instance.GetAddress() != "")
		_, err := proto.Marshal(instance)
		assert.NilError(t, err)
	})
}
