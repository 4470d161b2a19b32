package llmbroker

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testTimeout bounds every wait of the tests; a passing test does not reach it.
const testTimeout = 20 * time.Second

const model = "m1"

func start(t *testing.T, options Options) *Broker {
	t.Helper()
	options.Listen = "127.0.0.1:0"
	options.Service = "service"
	options.Zone = "zone-a"
	b, err := Start(options)
	assert.NilError(t, err)
	t.Cleanup(b.Crash)
	return b
}

func startModel(t *testing.T, change func(*Engine)) *Broker {
	engine := &Engine{Weights: NewWeights(), Model: model}
	if change != nil {
		change(engine)
	}
	return start(t, Options{Slots: 2, QueueLength: 1, ReportsLoad: true, Engine: engine})
}

// do sends a request with headers given as "Name: value".
func do(t *testing.T, b *Broker, method, path, body string, headers ...string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+b.Address()+path, strings.NewReader(body))
	assert.NilError(t, err)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header.Set(name, value)
	}
	answer, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}

func read(t *testing.T, answer *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return string(text)
}

const withID = HeaderRequestID + ": r1"

// Source: PROTOCOL.md, "Brokers": answers that say that a request was not executed.
func TestInvalidRequestsAreRejected(t *testing.T) {
	for _, test := range []struct {
		name    string
		headers []string
		status  int
	}{
		{"no id", nil, 400},
		{"another instance", []string{withID, HeaderExpectInstance + ": i-other"}, 421},
		{"another version", []string{withID, HeaderExpectVersion + ": 2"}, 421},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := startModel(t, nil)
			answer := do(t, b, "POST", "/a/", "", test.headers...)
			assert.Equal(t, answer.StatusCode, test.status)
			assert.Assert(t, answer.Header.Get(HeaderNotExecuted) != "")
			arrivals := b.options.Log.Arrivals()
			assert.Equal(t, len(arrivals), 1)
			assert.Assert(t, !arrivals[0].Ran())
		})
	}
}

func TestPlainAnswerIsSealed(t *testing.T) {
	b := start(t, Options{Slots: 1, ReportsLoad: true})
	answer := do(t, b, "POST", "/a/b?c", "body", withID, HeaderExpectInstance+": "+b.ID())
	body := read(t, answer)
	assert.Equal(t, answer.StatusCode, 200)
	assert.Equal(t, answer.Header.Get(HeaderSeal), Seal(b.ID(), 1, Hash([]byte(body))))
	assert.Equal(t, answer.Header.Get(HeaderRequestID), "r1")
	assert.Equal(t, answer.Header.Get(HeaderServerLoad), "1,0,1")
	arrival := b.options.Log.OfRequest("r1")[0]
	assert.Assert(t, arrival.Ran())
	assert.Equal(t, arrival.URI, "/a/b?c")
}

func TestFullBrokerRejectsRequests(t *testing.T) {
	b := start(t, Options{Slots: 1, QueueLength: 0, ServiceTime: testTimeout})
	begun := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+b.Address()+"/a/", nil)
		request.Header.Set(HeaderRequestID, "pending")
		_, _ = http.DefaultTransport.RoundTrip(request)
	})
	go func() {
		awaitRun(b.options.Log, "pending")
		close(begun)
	}()
	<-begun
	answer := do(t, b, "POST", "/a/", "", withID)
	assert.Equal(t, answer.StatusCode, 503)
	assert.Assert(t, answer.Header.Get(HeaderNotExecuted) != "")
	cancel()
	group.Wait()
}

// awaitRun waits until a request has started.
func awaitRun(ledger *ArrivalLog, request string) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for range ticker.C {
		if arrivals := ledger.OfRequest(request); len(arrivals) > 0 && arrivals[0].Ran() {
			return
		}
	}
}

// Source: PROTOCOL.md, "Requests": a stream may be resumed at another broker with Last-Event-Id.
func TestStreamResumesAtAnotherBroker(t *testing.T) {
	first, second := startModel(t, nil), startModel(t, nil)
	complete := eventsOf(read(t, do(t, first, "POST", "/a/", "q", withID, HeaderTokenCount+": 10,5")))
	rest := eventsOf(read(t, do(t, second, "POST", "/a/", "q", withID, HeaderTokenCount+": 10,5", HeaderLastEventID+": 3")))
	assert.Equal(t, len(complete), 5)
	assert.Equal(t, len(rest), 2)
	for i, event := range complete {
		assert.Equal(t, event, fmt.Sprintf("id: %d\ndata: %s %s.1", i+1, EventText("/a/", []byte("q"), i+1), first.ID()))
	}
	assert.Assert(t, strings.HasPrefix(rest[0], "id: 4\ndata: "+EventText("/a/", []byte("q"), 4)))
}

func eventsOf(body string) []string { return strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") }

func orderText(version, fence uint64, mode string) string {
	return fmt.Sprintf(`{"op":"version","model":"m1","version":%d,"mode":%q,"holder":"h","fence":%d}`, version, mode, fence)
}

// Source: PROTOCOL.md, "Requests": the answers to orders.
func TestOrderStatus(t *testing.T) {
	for _, test := range []struct {
		name   string
		body   string
		status int
	}{
		{"accepted", orderText(2, 5, "wait"), 202},
		{"already holds", orderText(1, 5, "wait"), 200},
		{"not published", orderText(3, 5, "wait"), 400},
		{"fencing token too low", orderText(2, 3, "wait"), 412},
		{"no fencing token", `{"op":"version","model":"m1","version":2,"mode":"wait","holder":"h"}`, 400},
		{"no holder", `{"op":"version","model":"m1","version":2,"mode":"wait","fence":5}`, 400},
		{"no such order", `{"op":"dance","model":"m1","version":2,"mode":"wait","holder":"h","fence":5}`, 400},
		{"another sequence", `{"op":"version","model":"m1","version":2,"mode":"wait","holder":"h","fence":5,"ifRevision":7}`, 409},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := startModel(t, func(e *Engine) { e.Fencing = true })
			b.options.Engine.Weights.Publish(model, 2)
			b.engine.maxFencingToken = 4
			assert.Equal(t, do(t, b, "POST", pathOrder, test.body).StatusCode, test.status)
		})
	}
}

// TestTruncatedOrderIsIgnored: its sender closed or reset the connection. A complete one without a fencing token is recorded.
func TestTruncatedOrderIsIgnored(t *testing.T) {
	ends := map[string]func(*net.TCPConn) error{
		"closed": (*net.TCPConn).CloseWrite,
		"reset": func(socket *net.TCPConn) error {
			if err := socket.SetLinger(0); err != nil {
				return err
			}
			return socket.Close()
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := startModel(t, func(e *Engine) { e.Fencing = true })
			socket, err := net.Dial("tcp4", b.Address())
			assert.NilError(t, err)
			_, err = fmt.Fprintf(socket, "POST %s HTTP/1.1\r\nHost: b\r\nContent-Length: 90\r\n\r\n{\"op\":\"version\"", pathOrder)
			assert.NilError(t, err)
			assert.NilError(t, end(socket.(*net.TCPConn)))
			_, _ = io.ReadAll(socket) // until the broker has done with it
			assert.NilError(t, b.server.Shutdown(t.Context()))
			assert.Equal(t, len(b.options.Log.Orders()), 0)
		})
	}
	b := startModel(t, func(e *Engine) { e.Fencing = true })
	do(t, b, "POST", pathOrder, `{"op":"version","model":"m1","version":2,"mode":"wait","holder":"h"}`)
	assert.Equal(t, len(b.options.Log.Orders()), 1)
	assert.Assert(t, b.options.Log.Orders()[0].Order.FencingToken == nil)
}

func TestWeightsChangeOnceNothingRuns(t *testing.T) {
	b := startModel(t, func(e *Engine) { e.EventInterval = 5 * time.Millisecond })
	b.options.Engine.Weights.Publish(model, 2)
	answer := do(t, b, "POST", "/a/", "q", withID, HeaderTokenCount+": 10,8", HeaderSalt+": s")
	reader := bufio.NewReader(answer.Body)
	_, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, do(t, b, "POST", pathOrder, orderText(2, 1, "wait")).StatusCode, 202)
	assert.Equal(t, do(t, b, "POST", pathOrder, orderText(2, 1, "wait")).StatusCode, 409)
	rejected := do(t, b, "POST", "/a/", "q", HeaderRequestID+": r2")
	assert.Equal(t, rejected.StatusCode, 503)
	assert.Assert(t, rejected.Header.Get(HeaderNotExecuted) != "")
	_, err = io.ReadAll(reader) // the run ends on the weights it started with
	assert.NilError(t, err)
	awaitReport(t, b, func(r reportBody) bool { return !r.Busy && r.Models[0].Version == 2 })
	assert.Equal(t, b.options.Log.OfRequest("r1")[0].Version, uint64(1))
}

// awaitReport fetches reports until one is as expected.
func awaitReport(t *testing.T, b *Broker, expected func(reportBody) bool) {
	t.Helper()
	timeout := time.After(testTimeout)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		var report reportBody
		assert.NilError(t, json.Unmarshal([]byte(read(t, do(t, b, "GET", pathReport, ""))), &report))
		if expected(report) {
			return
		}
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatalf("last report: %+v", report)
		}
	}
}

// Source: PROTOCOL.md, "KV cache".
func TestEventsListCachedBlocks(t *testing.T) {
	store, err := StartStore("127.0.0.1:0", 1000, 4)
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	b := startModel(t, nil)
	read(t, do(t, b, "POST", "/a/", "q", withID, HeaderSalt+": s1", HeaderPromptPrefix+": ab:80,cd:20",
		HeaderTokenCount+": 110,1", HeaderSave+": "+store.Address()))
	for _, address := range []string{b.Address(), store.Address()} {
		request, err := http.NewRequest("GET", "http://"+address+pathEvents+"?since=0", nil)
		assert.NilError(t, err)
		request.Header.Set(headerWait, "1000")
		answer, err := http.DefaultTransport.RoundTrip(request)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = answer.Body.Close() })
		var body eventsBody
		assert.NilError(t, json.Unmarshal([]byte(read(t, answer)), &body))
		assert.Equal(t, len(body.Events), 2)
		assert.Equal(t, fmt.Sprint(body.Events[1]), "[2 + s1 cd 20 m1]")
		assert.Equal(t, body.Next, uint64(2))
		assert.Assert(t, !body.Lost)
	}
}

func TestLeastRecentlyUsedBlocksAreEvicted(t *testing.T) {
	parts := newBlockCache(100)
	assert.Equal(t, parts.use("s", model, []Block{{"a", 60}, {"b", 30}}), 0)
	assert.Equal(t, parts.use("s", model, []Block{{"a", 60}}), 60)
	assert.Equal(t, parts.use("s", model, []Block{{"a", 60}, {"c", 40}}), 60)
	assert.Equal(t, parts.use("s", model, []Block{{"a", 60}, {"b", 30}}), 60) // c has evicted b
	assert.Equal(t, parts.use("other", model, []Block{{"a", 60}}), 0)
}

// controlNode receives heartbeats as a node does.
type controlNode struct {
	server     *httptest.Server
	heartbeats chan heartbeatBody
	ended      chan struct{}
	rejects    bool
}

func newControlNode(t *testing.T, refuse bool, answer string) *controlNode {
	node := &controlNode{heartbeats: make(chan heartbeatBody, 100), ended: make(chan struct{}, 1), rejects: refuse}
	node.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if node.rejects {
			w.WriteHeader(503)
			return
		}
		if strings.HasSuffix(r.URL.Path, "/deregister") {
			node.ended <- struct{}{}
			return
		}
		var body heartbeatBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		select {
		case node.heartbeats <- body:
		default: // the test has seen enough
		}
		_, _ = io.WriteString(w, answer)
	}))
	t.Cleanup(node.server.Close)
	return node
}

func (n *controlNode) address() string { return strings.TrimPrefix(n.server.URL, "http://") }

// Source: PROTOCOL.md, "Service discovery".
func TestHeartbeatsDrainAndDeregistration(t *testing.T) {
	refusing := newControlNode(t, true, "")
	home := newControlNode(t, false, "{}")
	taking := newControlNode(t, false, fmt.Sprintf(`{"heartbeatUrl":%q}`, home.address()))
	b := start(t, Options{
		Slots: 3, HeartbeatInterval: 20 * time.Millisecond, DrainTime: time.Millisecond,
		ControlAddresses: func() []string { return []string{refusing.address(), taking.address()} },
	})
	<-b.Announced()
	first := <-taking.heartbeats
	assert.Equal(t, first.State, "ready")
	assert.Equal(t, first.Address, b.Address())
	assert.Equal(t, first.Slots, 3)
	second := <-home.heartbeats
	assert.Assert(t, second.Sequence > first.Sequence)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	at, err := b.Drain(ctx)
	assert.NilError(t, err)
	assert.Assert(t, !at.IsZero())
	for beat := range home.heartbeats {
		if beat.State == "draining" {
			break
		}
	}
	assert.NilError(t, b.Leave(ctx))
	<-home.ended
}
