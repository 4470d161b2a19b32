package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/routing/admission"
)

// testTimeout bounds every wait of the tests; a passing test never waits it out.
const testTimeout = 20 * time.Second

// scriptedRouter is a router that hands out the brokers of a list, one an attempt, and notes what it is told.
type scriptedRouter struct {
	mutex     sync.Mutex
	instances []*registry.Instance
	next      int
	// attempt changes each attempt before it is handed out.
	attempt func(*routing.Attempt)
	// allowHedges allows Hedge to hand out the next broker.
	allowHedges bool
	// retries says whether another attempt follows an outcome; nil: after each that was not answered.
	retries func(routing.Outcome, bool) bool
	refusal *routing.Refusal

	requests []routing.Request
	outcomes []finished
	started  []int
	ended    int
	endings  chan struct{}
}

type finished struct {
	attempt   int
	outcome   routing.Outcome
	resumable bool
}

func newScriptedRouter(instances ...*registry.Instance) *scriptedRouter {
	return &scriptedRouter{
		instances: instances,
		refusal:   &routing.Refusal{RetryAfter: 250 * time.Millisecond, Reason: admission.ReasonBrokersFull},
		endings:   make(chan struct{}, 1000),
	}
}

func (p *scriptedRouter) nextAttempt() routing.Decision {
	if p.next >= len(p.instances) {
		return routing.Decision{Refusal: p.refusal}
	}
	attempt := &routing.Attempt{Request: 1, Number: p.next, Instance: p.instances[p.next], HedgeAt: core.Never, Priority: 5}
	p.next++
	if p.attempt != nil {
		p.attempt(attempt)
	}
	return routing.Decision{Attempt: attempt}
}

func (p *scriptedRouter) Begin(_ core.Time, request routing.Request) (routing.RequestID, routing.Decision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.requests = append(p.requests, request)
	return routing.RequestID(len(p.requests)), p.nextAttempt()
}

func (p *scriptedRouter) Hedge(core.Time, routing.RequestID) routing.Decision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.allowHedges {
		return routing.Decision{}
	}
	return p.nextAttempt()
}

func (p *scriptedRouter) AnswerStarted(_ core.Time, _ routing.RequestID, attempt int, _ *routing.Load) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.started = append(p.started, attempt)
}

func (p *scriptedRouter) AttemptEnded(_ core.Time, _ routing.RequestID, attempt int, outcome routing.Outcome, resumable bool) routing.Decision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outcomes = append(p.outcomes, finished{attempt, outcome, resumable})
	if outcome.Answered || outcome.Canceled {
		return routing.Decision{}
	}
	if p.retries != nil && !p.retries(outcome, resumable) {
		return routing.Decision{Refusal: p.refusal}
	}
	return p.nextAttempt()
}

func (p *scriptedRouter) End(core.Time, routing.RequestID) {
	p.mutex.Lock()
	p.ended++
	p.mutex.Unlock()
	p.endings <- struct{}{}
}

func (p *scriptedRouter) SetTable(core.Time, *registry.Table)   {}
func (p *scriptedRouter) SetConfig(core.Time, *config.Compiled) {}
func (p *scriptedRouter) SetProxyCount(core.Time, int)          {}

// awaitEnds waits until that many requests have ended.
func (p *scriptedRouter) awaitEnds(t *testing.T, count int) {
	t.Helper()
	for range count {
		select {
		case <-p.endings:
		case <-time.After(testTimeout):
			t.Fatal("a request did not end")
		}
	}
}

func (p *scriptedRouter) outcome(t *testing.T, index int) routing.Outcome {
	t.Helper()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	assert.Assert(t, index < len(p.outcomes), "outcomes: %v", p.outcomes)
	return p.outcomes[index].outcome
}

// arrival is a request as a broker read it from its socket.
type arrivalAtBroker struct {
	request *http.Request
	raw     string // the head
	body    string
	conn    int
}

// broker is a scripted broker on a real socket. Its script is called for each request, and writes what it likes.
type broker struct {
	t        *testing.T
	listener net.Listener
	instance *registry.Instance
	script   func(*exchange)
	arrivals chan arrivalAtBroker
	conns    atomic.Int32
}

// exchange is one request at a scripted broker.
type exchange struct {
	arrivalAtBroker
	number int // of the request on its connection, from 0
	socket *net.TCPConn
	reader *bufio.Reader
	closed bool
}

func (e *exchange) id() string { return e.request.Header.Get(headerRequestID) }

// write sends text in which ID stands for the request's id.
func (e *exchange) write(text string) {
	io.WriteString(e.socket, strings.ReplaceAll(text, "ID", e.id()))
}

// answer sends a complete sealed answer.
func (e *exchange) answer(status int, body string) {
	e.write(fmt.Sprintf("HTTP/1.1 %d X\r\n%s: ID\r\n%s: seal.ID\r\nContent-Length: %d\r\n\r\n%s",
		status, headerRequestID, headerSeal, len(body), body))
}

// reject turns the request away.
func (e *exchange) reject(status int) {
	e.write(fmt.Sprintf("HTTP/1.1 %d X\r\n%s: ID\r\n%s: 1\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n",
		status, headerRequestID, headerNotExecuted))
}

// streamHead begins an event stream.
func (e *exchange) streamHead() {
	e.write("HTTP/1.1 200 OK\r\n" + headerRequestID + ": ID\r\n" + headerSeal + ": seal.ID\r\n" +
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// chunk sends one chunk.
func (e *exchange) chunk(text string) { e.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

// event sends an event in a chunk of its own.
func (e *exchange) event(id int) { e.chunk(eventText(id)) }

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: token%d\n\n", id, id) }

// endStream ends the stream properly.
func (e *exchange) endStream() { e.write("0\r\n\r\n") }

// reset closes the connection with a reset.
func (e *exchange) reset() {
	e.socket.SetLinger(0)
	e.close()
}

func (e *exchange) close() {
	e.closed = true
	e.socket.Close()
}

// awaitClose waits until the other side closes.
func (e *exchange) awaitClose() {
	e.socket.SetReadDeadline(time.Now().Add(testTimeout))
	e.reader.ReadByte()
}

// ownLoopback is a loopback address that no other process uses: ports are given out anew soon, and what another test's process sends to
// one that has ended must not count as an arrival here.
func ownLoopback() string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+process>>16&63, process>>8&255, process&255)
}

func newBroker(t *testing.T, id string, script func(*exchange)) *broker {
	t.Helper()
	listener, err := net.Listen("tcp4", ownLoopback()+":0")
	assert.NilError(t, err)
	b := &broker{t: t, listener: listener, script: script, arrivals: make(chan arrivalAtBroker, 1000)}
	b.instance = &registry.Instance{ID: id, Service: "service", Address: listener.Addr().String(), Slots: 8}
	go b.accept()
	t.Cleanup(func() { listener.Close() })
	return b
}

func (b *broker) accept() {
	for {
		socket, err := b.listener.Accept()
		if err != nil {
			return
		}
		number := int(b.conns.Add(1))
		go b.serve(socket.(*net.TCPConn), number)
	}
}

func (b *broker) serve(socket *net.TCPConn, number int) {
	defer socket.Close()
	var seen strings.Builder
	reader := bufio.NewReader(io.TeeReader(socket, &seen))
	for count := 0; ; count++ {
		seen.Reset()
		socket.SetReadDeadline(time.Now().Add(testTimeout))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		head, _, _ := strings.Cut(seen.String(), "\r\n\r\n")
		e := &exchange{number: count, socket: socket, reader: reader,
			arrivalAtBroker: arrivalAtBroker{request: request, raw: head, body: string(body), conn: number}}
		b.arrivals <- e.arrivalAtBroker
		b.script(e)
		if e.closed {
			return
		}
	}
}

// next gives the next request that arrived.
func (b *broker) next() arrivalAtBroker {
	b.t.Helper()
	select {
	case arrived := <-b.arrivals:
		return arrived
	case <-time.After(testTimeout):
		b.t.Fatal("no request arrived")
		return arrivalAtBroker{}
	}
}

// arrived counts the requests that arrived and were not taken by next.
func (b *broker) arrived() int { return len(b.arrivals) }

// heads takes what arrived, for the message of a check that failed.
func (b *broker) heads() []string {
	var heads []string
	for range len(b.arrivals) {
		heads = append(heads, (<-b.arrivals).raw)
	}
	return heads
}

// testConfig is a configuration whose routes are matched by a plain search.
type testConfig struct {
	compiled *config.Compiled
	routes   []*config.Route
	// without says whether the routes are left out just now; nil: never.
	without func() bool
}

func route(name, prefix string, kind config.RouteKind) *config.Route {
	return &config.Route{Name: name, Host: "host.example", PathPrefix: prefix, Kind: kind, TimeoutMs: 15000,
		Service: "service", MaxAttempts: 3, Priority: 1}
}

func defaultConfig() *testConfig {
	resumable := route("resumable", "/resumable/", config.KindStreaming)
	resumable.Resumable = true
	return &testConfig{
		compiled: &config.Compiled{
			Version:  1,
			Services: map[string]*config.Service{"service": {Name: "service", MaxConnections: 100}},
			Limits: config.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000,
				IdleTimeoutMs: 15000},
		},
		routes: []*config.Route{
			route("safe", "/safe/", config.KindSafe),
			route("unsafe", "/unsafe/", config.KindUnsafe),
			route("stream", "/stream/", config.KindStreaming),
			resumable,
		},
	}
}

func (c *testConfig) match(_ *config.Compiled, host, path string) *config.Route {
	if c.without != nil && c.without() {
		return nil
	}
	var best *config.Route
	for _, r := range c.routes {
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(best.PathPrefix) < len(r.PathPrefix)) {
			best = r
		}
	}
	return best
}

// world is a proxy on a real socket, between scripted brokers and raw clients.
type world struct {
	t       *testing.T
	proxy   *Proxy
	port    *scriptedRouter
	config  *testConfig
	address string
	mayRun  atomic.Bool
	// contexts holds the contexts of the requests that the server handed to the proxy.
	contexts chan context.Context
}

// setup changes a world before its proxy starts.
type setup func(*world, *Options)

func newWorld(t *testing.T, port *scriptedRouter, setups ...setup) *world {
	t.Helper()
	w := &world{t: t, port: port, config: defaultConfig()}
	w.mayRun.Store(true)
	start := time.Now()
	options := Options{
		Router:        port,
		Clock:         func() core.Time { return time.Since(start) },
		Configuration: func() *config.Compiled { return w.config.compiled },
		MayServe:      func(core.Time, bool) bool { return w.mayRun.Load() },
	}
	for _, change := range setups {
		change(w, &options)
	}
	w.proxy = New(options)
	w.proxy.match = func(compiled *config.Compiled, host, path string) *config.Route {
		return w.config.match(compiled, host, path)
	}
	w.contexts = make(chan context.Context, 1000)
	w.proxy.server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		w.contexts <- r.Context()
		w.proxy.ServeHTTP(writer, r)
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	w.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- w.proxy.Serve(listener) }()
	t.Cleanup(func() {
		w.proxy.server.Close()
		w.proxy.pool.Close()
		<-served
	})
	return w
}

// client is a raw connection to the proxy.
type client struct {
	t      *testing.T
	socket *net.TCPConn
	reader *bufio.Reader
}

func (w *world) client() *client {
	w.t.Helper()
	socket, err := net.Dial("tcp4", w.address)
	assert.NilError(w.t, err)
	assert.NilError(w.t, socket.SetDeadline(time.Now().Add(testTimeout)))
	w.t.Cleanup(func() { socket.Close() })
	return &client{t: w.t, socket: socket.(*net.TCPConn), reader: bufio.NewReader(socket)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.socket, text)
	assert.NilError(c.t, err)
}

// reply is an answer as the client read it.
type reply struct {
	*http.Response
	body    string
	bodyErr error
}

func (c *client) read(method string) reply {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	assert.NilError(c.t, err)
	body, err := io.ReadAll(response.Body)
	return reply{response, string(body), err}
}

// closed checks that the connection ends without a further byte.
func (c *client) closed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	assert.Assert(c.t, err != nil, "a byte came where none was due")
}

// do sends a request on a connection of its own and reads the answer.
func (w *world) do(text string) reply {
	w.t.Helper()
	c := w.client()
	c.send(text)
	method, _, _ := strings.Cut(text, " ")
	return c.read(method)
}

// get is a plain request to a path.
func get(path, id string, headers ...string) string {
	return requestText("GET", path, id, "", headers...)
}

// post is a request with a body.
func post(path, id, body string, headers ...string) string {
	headers = append(headers, fmt.Sprintf("Content-Length: %d", len(body)))
	return requestText("POST", path, id, body, headers...)
}

func requestText(method, path, id, body string, headers ...string) string {
	lines := []string{method + " " + path + " HTTP/1.1", "Host: host.example", headerRequestID + ": " + id}
	lines = append(lines, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}
