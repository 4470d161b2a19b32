package forward

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// TestStreamIsClosedWhenClientDisconnects: its broker is called off.
func TestStreamIsClosedWhenClientDisconnects(t *testing.T) {
	for _, path := range []string{"/stream/a", "/resumable/a"} {
		closed := make(chan struct{})
		only := newBroker(t, "i-1", func(e *exchange) {
			e.streamHead()
			e.event(1)
			e.awaitClose()
			e.close()
			close(closed)
		})
		second := newBroker(t, "i-2", streamOf(2, 3))
		w := newWorld(t, newScriptedRouter(only.instance, second.instance))
		c := w.client()
		c.send(post(path, "r1", "prompt"))
		_, err := c.reader.ReadString('\n')
		assert.NilError(t, err)
		c.socket.Close()
		<-closed
		w.port.awaitEnds(t, 1)
		assert.Assert(t, w.port.outcome(t, 0).Canceled)
		assert.Equal(t, second.arrived(), 0)
	}
}

// TestStreamIsClosedWhenClientDisconnectsBeforeFirstEvent of its stream.
func TestStreamIsClosedWhenClientDisconnectsBeforeFirstEvent(t *testing.T) {
	only, closed := silent(t, "i-1")
	second := newBroker(t, "i-2", streamOf(1, 3))
	w := newWorld(t, newScriptedRouter(only.instance, second.instance))
	c := w.client()
	c.send(post("/resumable/a", "r1", "prompt"))
	only.next()
	c.socket.Close()
	<-closed
	w.port.awaitEnds(t, 1)
	assert.Assert(t, w.port.outcome(t, 0).Canceled)
	assert.Equal(t, second.arrived(), 0)
	assert.Equal(t, w.proxy.Metrics().ClientDisconnected, uint64(1))
}

// TestAnswerIsAwaitedForDisconnectGrace: the answer is let come for a while, and its connection is kept.
func TestAnswerIsAwaitedForDisconnectGrace(t *testing.T) {
	left := make(chan struct{})
	only := newBroker(t, "i-1", func(e *exchange) {
		<-left
		e.answer(200, "for nobody")
	})
	w := newWorld(t, newScriptedRouter(only.instance))
	c := w.client()
	c.send(post("/unsafe/a", "r1", "body"))
	only.next()
	c.socket.Close()
	close(left)
	w.port.awaitEnds(t, 1)
	assert.Equal(t, w.proxy.Metrics().ConnectionsIdle, 1)
}

// TestDisconnectGraceIsBounded.
func TestDisconnectGraceIsBounded(t *testing.T) {
	only, closed := silent(t, "i-1")
	w := newWorld(t, newScriptedRouter(only.instance), func(_ *world, options *Options) {
		options.Bounds.DisconnectGrace = time.Millisecond
	})
	c := w.client()
	c.send(post("/unsafe/a", "r1", "body"))
	only.next()
	c.socket.Close()
	<-closed
	w.port.awaitEnds(t, 1)
	outcome := w.port.outcome(t, 0)
	assert.Equal(t, outcome.Verdict, verdict.MayHaveRun)
	assert.Assert(t, outcome.Canceled)
}

// goneBound is when a broker must have stopped working for a client that has left. Source: RULES.md, GONE.
const goneBound = 500 * time.Millisecond

// TestIdempotentRequestIsCalledOffWithinGoneBound guards against GONE: brokers worked on for two seconds for clients of safe routes
// that had left (docs/incidents/gone.md). It holds for each attempt, hedges and later ones included, whatever the grace of requests
// that must not be repeated.
func TestIdempotentRequestIsCalledOffWithinGoneBound(t *testing.T) {
	const transit = 120 * time.Millisecond // of the close, to the node and to the broker
	assert.Assert(t, DefaultIdempotentDisconnectGrace+transit < goneBound)
	for _, name := range []string{"first attempt", "hedge", "retry"} {
		t.Run(name, func(t *testing.T) {
			first, firstClosed := silent(t, "i-1")
			second, secondClosed := silent(t, "i-2")
			failing := newBroker(t, "i-3", func(e *exchange) { e.answer(500, "failed") })
			port, newest, closed := newScriptedRouter(first.instance), first, []chan struct{}{firstClosed}
			switch name {
			case "hedge":
				port, newest, closed = copying(first, second), second, append(closed, secondClosed)
			case "retry":
				port, newest, closed = newScriptedRouter(failing.instance, second.instance), second, []chan struct{}{secondClosed}
			}
			w := newWorld(t, port, func(_ *world, options *Options) { options.Bounds.DisconnectGrace = 2 * testTimeout })
			c := w.client()
			c.send(get("/safe/a", "r1"))
			newest.next()
			c.socket.Close()
			for _, atBroker := range closed {
				awaitClosed(t, atBroker)
			}
			w.port.awaitEnds(t, 1)
		})
	}
}

// callOffTimeout bounds the wait for a closed connection. It is far below the deadline of the tests' requests, at which each ends.
const callOffTimeout = 5 * time.Second

// awaitClosed waits until a broker's connection was closed.
func awaitClosed(t *testing.T, closed chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(callOffTimeout):
		t.Fatal("the broker works on")
	}
}

// TestIdempotentAnswerThatIsDueKeepsItsConnection: an answer that comes soon after its client has left costs no connection.
func TestIdempotentAnswerThatIsDueKeepsItsConnection(t *testing.T) {
	left := make(chan struct{})
	only := newBroker(t, "i-1", func(e *exchange) {
		<-left
		e.answer(200, "for nobody")
	})
	w := newWorld(t, newScriptedRouter(only.instance), func(_ *world, options *Options) {
		options.Bounds.IdempotentDisconnectGrace = testTimeout
	})
	c := w.client()
	c.send(get("/safe/a", "r1"))
	only.next()
	c.socket.Close()
	close(left)
	w.port.awaitEnds(t, 1)
	assert.Equal(t, w.proxy.Metrics().ConnectionsIdle, 1)
}

// TestNothingIsSentForAClientThatHasLeft while its request was decided on.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	port := newScriptedRouter(only.instance)
	w := newWorld(t, port)
	c := w.client()
	port.attempt = func(*routing.Attempt) {
		c.socket.Close()
		<-(<-w.contexts).Done()
	}
	c.send(post("/unsafe/a", "r1", "body"))
	w.port.awaitEnds(t, 1)
	assert.Equal(t, only.arrived(), 0)
	assert.Equal(t, port.outcome(t, 0).Verdict, verdict.NotRun)
}

// hungAddress is an address that takes no connection and refuses none: the queue of its listener is full.
func hungAddress(t *testing.T) string {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { syscall.Close(descriptor) })
	assert.NilError(t, syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(descriptor, 0))
	name, err := syscall.Getsockname(descriptor)
	assert.NilError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	filler, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { filler.Close() })
	return address
}

// TestDisconnectCancelsConnecting: nothing is sent, and the broker isn't blamed.
func TestDisconnectCancelsConnecting(t *testing.T) {
	hung := &registry.Instance{ID: "i-hung", Service: "service", Address: hungAddress(t)}
	second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "ok") })
	w := newWorld(t, newScriptedRouter(hung, second.instance), func(_ *world, options *Options) {
		options.Upstream.ConnectTimeout = time.Hour
	})
	c := w.client()
	c.send(post("/unsafe/a", "r1", "body"))
	<-w.contexts
	c.socket.Close()
	w.port.awaitEnds(t, 1)
	outcome := w.port.outcome(t, 0)
	assert.Equal(t, outcome.Verdict, verdict.NotRun)
	assert.Assert(t, outcome.Canceled)
	assert.Assert(t, !outcome.ConnectFailed)
	assert.Equal(t, second.arrived(), 0)
}

// TestDeadlineBoundsConnecting: the request has not run, and the broker isn't blamed.
func TestDeadlineBoundsConnecting(t *testing.T) {
	hung := &registry.Instance{ID: "i-hung", Service: "service", Address: hungAddress(t)}
	w := newWorld(t, newScriptedRouter(hung), func(_ *world, options *Options) {
		options.Upstream.ConnectTimeout = time.Hour
	})
	got := w.do(post("/unsafe/a", "r1", "body", "X-Kestrelspread-Deadline-Ms: 30"))
	assert.Equal(t, got.StatusCode, 503)
	w.port.awaitEnds(t, 1)
	outcome := w.port.outcome(t, 0)
	assert.Equal(t, outcome.Verdict, verdict.NotRun)
	assert.Assert(t, outcome.Canceled)
	assert.Assert(t, !outcome.ConnectFailed)
}

// TestFailedConnectGoesToAnotherBroker: another broker gets the request.
func TestFailedConnectGoesToAnotherBroker(t *testing.T) {
	hung := &registry.Instance{ID: "i-hung", Service: "service", Address: hungAddress(t)}
	second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "second") })
	w := newWorld(t, newScriptedRouter(hung, second.instance), func(_ *world, options *Options) {
		options.Upstream.ConnectTimeout = 20 * time.Millisecond
	})
	assert.Equal(t, w.do(post("/unsafe/a", "r1", "body")).body, "second")
	w.port.awaitEnds(t, 1)
	assert.Assert(t, w.port.outcome(t, 0).ConnectFailed)
}

// TestStalledBodyIsDenied: nobody waits for it, and nothing is sent on.
func TestStalledBodyIsDenied(t *testing.T) {
	unready := func(_ *world, options *Options) { options.Configuration = func() *config.Compiled { return nil } }
	for _, test := range []struct {
		name, length, header string
		setups               []setup
		status               int
	}{
		{"in the client's time", "100", "X-Kestrelspread-Deadline-Ms: 20", nil, 408},
		{"too large", "100000000", "X-A: b", nil, 413},
		{"no configuration", "100", "X-A: b", []setup{unready}, 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
			w := newWorld(t, newScriptedRouter(only.instance), test.setups...)
			c := w.client()
			c.send("POST /unsafe/a HTTP/1.1\r\nHost: host.example\r\n" + headerRequestID + ": r1\r\n" + test.header +
				"\r\nContent-Length: " + test.length + "\r\n\r\nstart")
			got := c.read("POST")
			assert.Equal(t, got.StatusCode, test.status)
			assert.Assert(t, got.Close)
			assert.Equal(t, only.arrived(), 0)
		})
	}
}

// TestNoRetryAfterDisconnect.
func TestNoRetryAfterDisconnect(t *testing.T) {
	first := newBroker(t, "i-1", func(e *exchange) { e.reject(503) })
	second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "ok") })
	port := newScriptedRouter(first.instance, second.instance)
	w := newWorld(t, port)
	c := w.client()
	port.retries = func(routing.Outcome, bool) bool {
		c.socket.Close()
		<-(<-w.contexts).Done()
		return true
	}
	c.send(get("/safe/a", "r1"))
	w.port.awaitEnds(t, 1)
	assert.Equal(t, second.arrived(), 0)
}

// TestClientTimeoutsFollowConfiguration are those of the configuration with a margin, never less.
func TestClientTimeoutsFollowConfiguration(t *testing.T) {
	w := newWorld(t, newScriptedRouter())
	times := w.proxy.clientTimeouts()
	assert.Equal(t, times.idle, 15*time.Second*5/4+time.Second)
	assert.Equal(t, times.header, 3*time.Second*5/4+time.Second)
}

// TestSlowClientsAreClosed are let go: one that rests too long, and one that does not come to the end of a head.
func TestSlowClientsAreClosed(t *testing.T) {
	for _, text := range []string{"", "GET /safe/a HT", get("/safe/a", "r1")[:60]} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		w := newWorld(t, newScriptedRouter())
		short := func() clientTimeouts { return clientTimeouts{idle: 5 * time.Millisecond, header: 5 * time.Millisecond} }
		w.proxy.clientLimits.timeouts = short
		go w.proxy.server.Serve(w.proxy.clientListener(listener.(*net.TCPListener)))
		socket, err := net.Dial("tcp4", listener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, socket.SetDeadline(time.Now().Add(testTimeout)))
		_, err = socket.Write([]byte(text))
		assert.NilError(t, err)
		rest, err := io.ReadAll(socket)
		assert.NilError(t, err)
		// What net/http says of a head that breaks off is its own; it never waits on.
		assert.Assert(t, len(rest) == 0 || strings.HasPrefix(string(rest), "HTTP/1.1 400 "), "%q", rest)
		t.Logf("%q: %q", text, rest)
		socket.Close()
	}
}

// TestLongAnswerOutlivesIdleTimeout: it is for clients at rest only.
func TestLongAnswerOutlivesIdleTimeout(t *testing.T) {
	proceed := make(chan struct{})
	only := newBroker(t, "i-1", func(e *exchange) {
		<-proceed
		e.answer(200, "ok")
	})
	w := newWorld(t, newScriptedRouter(only.instance))
	reads := make(chan struct{}, 100)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	short := func() clientTimeouts {
		reads <- struct{}{}
		return clientTimeouts{idle: 20 * time.Millisecond, header: 20 * time.Millisecond}
	}
	w.proxy.clientLimits.timeouts = short
	go w.proxy.server.Serve(w.proxy.clientListener(listener.(*net.TCPListener)))
	w.address = listener.Addr().String()
	c := w.client()
	c.send(post("/unsafe/a", "r1", "body"))
	only.next()
	select {
	case <-(<-w.contexts).Done():
		t.Fatal("the client was taken for gone")
	case <-time.After(60 * time.Millisecond):
	}
	close(proceed)
	assert.Equal(t, c.read("POST").StatusCode, 200)
}
