package forward

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

const sealedHead = headerRequestID + ": ID\r\n" + headerSeal + ": seal.ID\r\n"

// behaviour is what a broker does with one request, and what must become of it.
type behaviour struct {
	name   string
	script func(*exchange)
	want   verdict.Verdict
	// status the client gets where no further attempt follows.
	status int
	check  func(*testing.T, routing.Outcome)
}

// behaviours lists what brokers do by PROTOCOL.md, "Brokers" and "Answers".
var behaviours = []behaviour{
	{name: "success", script: func(e *exchange) { e.answer(200, "ok") }, want: verdict.Ran, status: 200},
	{name: "created", script: func(e *exchange) { e.answer(201, "ok") }, want: verdict.Ran, status: 201},
	{name: "redirect of its own", script: func(e *exchange) { e.answer(302, "") }, want: verdict.Ran, status: 302},
	{name: "not found of its own", script: func(e *exchange) { e.answer(404, "") }, want: verdict.Ran, status: 404},
	{name: "failure of its own", script: func(e *exchange) { e.answer(500, "no") }, want: verdict.Ran, status: 500},
	{name: "deadline of its own", script: func(e *exchange) { e.answer(504, "late") }, want: verdict.Ran, status: 504},
	{name: "full", script: func(e *exchange) { e.reject(503) }, want: verdict.NotRun, status: 503,
		check: func(t *testing.T, o routing.Outcome) {
			assert.Assert(t, o.NotExecuted)
			assert.Equal(t, o.RetryAfter.Milliseconds(), int64(200))
		}},
	{name: "too many", script: func(e *exchange) { e.reject(429) }, want: verdict.NotRun, status: 503},
	{name: "refused as bad", script: func(e *exchange) { e.reject(400) }, want: verdict.NotRun, status: 503},
	{name: "misdirected", script: func(e *exchange) {
		e.write("HTTP/1.1 421 X\r\n" + headerRequestID + ": ID\r\nContent-Length: 0\r\n\r\n")
	}, want: verdict.NotRun, status: 503,
		check: func(t *testing.T, o routing.Outcome) { assert.Assert(t, o.Misdirected) }},
	{name: "misdirected, without an id, on a new connection", script: func(e *exchange) {
		e.write("HTTP/1.1 421 X\r\nX-Kestrelspread-Instance-Id: i-other\r\nContent-Length: 0\r\n\r\n")
	}, want: verdict.NotRun, status: 503},
	{name: "full, without an id, on a new connection", script: func(e *exchange) {
		e.write("HTTP/1.1 503 X\r\nX-Kestrelspread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}, want: verdict.NotRun, status: 503},
	{name: "full, without saying so", script: func(e *exchange) { e.answer(503, "") }, want: verdict.MayHaveRun, status: 502},
	{name: "too many, without saying so", script: func(e *exchange) { e.answer(429, "") }, want: verdict.MayHaveRun, status: 502},
	{name: "request time-out, without saying so", script: func(e *exchange) { e.answer(408, "") },
		want: verdict.MayHaveRun, status: 502},
	{name: "closed without an answer", script: func(e *exchange) { e.close() }, want: verdict.MayHaveRun, status: 502},
	{name: "reset", script: func(e *exchange) { e.reset() }, want: verdict.MayHaveRun, status: 502},
	{name: "head cut short", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + headerRequestID + ": ID\r\nX-Kes")
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
	{name: "no answer at all but bytes", script: func(e *exchange) {
		e.write("\x00\x01\x02 what is this\r\n\r\n")
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
	{name: "body cut short", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Length: 10\r\n\r\nhalf")
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
	{name: "chunks cut short", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
	{name: "garbled chunks", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n")
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
	{name: "neither length nor chunks", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "\r\nis this all?")
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
	{name: "success without a seal", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + headerRequestID + ": ID\r\nContent-Length: 2\r\n\r\nok")
	}, want: verdict.MayHaveRun, status: 502},
	{name: "encoded body", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok")
	}, want: verdict.MayHaveRun, status: 502},
	{name: "no id", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + headerSeal + ": s\r\nContent-Length: 2\r\n\r\nok")
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
	{name: "two ids", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead + headerRequestID + ": ID\r\nContent-Length: 2\r\n\r\nok")
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
	{name: "the answer to another request, then nothing", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + headerRequestID + ": other\r\n" + headerSeal + ": s\r\nContent-Length: 2\r\n\r\nno")
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
	{name: "the answer to another request, then its own", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + headerRequestID + ": other\r\n" + headerSeal + ": s\r\nContent-Length: 2\r\n\r\nno")
		e.answer(200, "yes")
	}, want: verdict.Ran, status: 200},
	{name: "rejection of another request, then its own answer", script: func(e *exchange) {
		e.write("HTTP/1.1 503 X\r\n" + headerRequestID + ": other\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n")
		e.answer(200, "yes")
	}, want: verdict.Ran, status: 200},
	{name: "interim answer first", script: func(e *exchange) {
		e.write("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
		e.answer(200, "yes")
	}, want: verdict.Ran, status: 200},
	{name: "protocol switched", script: func(e *exchange) {
		e.write("HTTP/1.1 101 X\r\n" + sealedHead + "Upgrade: x\r\nConnection: upgrade\r\n\r\n")
	}, want: verdict.MayHaveRun, status: 502},
	{name: "a length that is none", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Length: -2\r\n\r\nok")
	}, want: verdict.MayHaveRun, status: 502},
	{name: "an endless head", script: func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead + strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 100))
		e.awaitClose()
		e.close()
	}, want: verdict.MayHaveRun, status: 502},
}

// TestVerdicts plays each behaviour on a route that may not be repeated, with a second broker that the request must reach
// only if the first did not run it.
func TestVerdicts(t *testing.T) {
	for _, b := range behaviours {
		t.Run(b.name, func(t *testing.T) {
			first := newBroker(t, "i-1", b.script)
			second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "second") })
			w := newWorld(t, newScriptedRouter(first.instance, second.instance))
			got := w.do(post("/unsafe/a", "r1", "body"))
			w.port.awaitEnds(t, 1)
			assert.Equal(t, w.port.outcome(t, 0).Verdict, b.want)
			assert.Equal(t, first.arrived(), 1)
			if b.want == verdict.NotRun {
				if count := second.arrived(); count != 1 {
					t.Fatalf("%d requests arrived at the second broker: %q", count, second.heads())
				}
				assert.Equal(t, got.body, "second")
				return
			}
			assert.Equal(t, second.arrived(), 0)
			assert.Equal(t, got.StatusCode, b.status)
		})
	}
}

// TestAnswerFollowsVerdict plays each behaviour where the router makes no further attempt: a status that promises that the
// request did not run, only if it did not; and a seal only with the status that its broker gave.
func TestAnswerFollowsVerdict(t *testing.T) {
	for _, b := range behaviours {
		t.Run(b.name, func(t *testing.T) {
			only := newBroker(t, "i-1", b.script)
			w := newWorld(t, newScriptedRouter(only.instance))
			got := w.do(post("/unsafe/a", "r1", "body"))
			w.port.awaitEnds(t, 1)
			assert.Equal(t, got.StatusCode, b.status)
			assert.Equal(t, got.Header.Get(headerRequestID), "r1")
			assert.NilError(t, got.bodyErr)
			sealed := got.Header.Get(headerSeal) != ""
			assert.Equal(t, sealed, b.want == verdict.Ran)
			assert.Equal(t, got.Header.Get(headerRetryAfter) != "", b.status == 503)
			assert.Equal(t, got.Header.Get(headerNotExecuted), "")
			if b.check != nil {
				b.check(t, w.port.outcome(t, 0))
			}
		})
	}
}

// TestIdempotentRequestIsRetried plays each behaviour on a safe route: every failure goes on to the second broker.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for _, b := range behaviours {
		t.Run(b.name, func(t *testing.T) {
			first := newBroker(t, "i-1", b.script)
			second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "second") })
			w := newWorld(t, newScriptedRouter(first.instance, second.instance))
			got := w.do(get("/safe/a", "r1"))
			w.port.awaitEnds(t, 1)
			if b.want == verdict.Ran && b.status < 500 {
				assert.Equal(t, got.StatusCode, b.status)
				assert.Equal(t, second.arrived(), 0)
				return
			}
			assert.Equal(t, got.body, "second")
			assert.Equal(t, got.Header.Get(headerSeal), "seal.r1")
		})
	}
}

// TestRouterCannotRetryWhatMayHaveRun has a router that asks for another attempt all the same.
func TestRouterCannotRetryWhatMayHaveRun(t *testing.T) {
	for _, path := range []string{"/unsafe/a", "/stream/a"} {
		first := newBroker(t, "i-1", func(e *exchange) { e.reset() })
		second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "second") })
		w := newWorld(t, newScriptedRouter(first.instance, second.instance))
		got := w.do(post(path, "r1", "body"))
		assert.Equal(t, got.StatusCode, 502)
		w.port.awaitEnds(t, 1)
		assert.Equal(t, second.arrived(), 0)
	}
}

// TestNoPromiseAfterAnAttemptThatMayHaveRun: a later attempt that did not run changes nothing (RULES.md, REFUSED).
func TestNoPromiseAfterAnAttemptThatMayHaveRun(t *testing.T) {
	first := newBroker(t, "i-1", func(e *exchange) { e.reset() })
	second := newBroker(t, "i-2", func(e *exchange) { e.reject(503) })
	w := newWorld(t, newScriptedRouter(first.instance, second.instance))
	got := w.do(get("/safe/a", "r1"))
	assert.Equal(t, got.StatusCode, 502)
	assert.Equal(t, got.Header.Get(headerRetryAfter), "")
}

// TestBrokerFailureIsForwardedWithoutBetterAnswer: where no later attempt does better, the client gets the broker's own failure.
func TestBrokerFailureIsForwardedWithoutBetterAnswer(t *testing.T) {
	first := newBroker(t, "i-1", func(e *exchange) { e.answer(500, "broken") })
	second := newBroker(t, "i-2", func(e *exchange) { e.reset() })
	w := newWorld(t, newScriptedRouter(first.instance, second.instance))
	got := w.do(get("/safe/a", "r1"))
	assert.Equal(t, got.StatusCode, 500)
	assert.Equal(t, got.body, "broken")
	assert.Equal(t, got.Header.Get(headerSeal), "seal.r1")
}

func TestRefusedConnectionMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	gone := &registry.Instance{ID: "i-gone", Service: "service", Address: listener.Addr().String()}
	listener.Close()
	second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "second") })
	w := newWorld(t, newScriptedRouter(gone, second.instance))
	got := w.do(post("/unsafe/a", "r1", "body"))
	assert.Equal(t, got.body, "second")
	w.port.awaitEnds(t, 1)
	outcome := w.port.outcome(t, 0)
	assert.Equal(t, outcome.Verdict, verdict.NotRun)
	assert.Assert(t, outcome.ConnectFailed)
}

// TestConnectionResetAtOnceMeansNotRun: a broker with too many connections resets a new one. A request that must not be repeated has not
// been sent by then.
func TestConnectionResetAtOnceMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			socket.(*net.TCPConn).SetLinger(0)
			socket.Close()
		}
	}()
	crowded := &registry.Instance{ID: "i-crowded", Service: "service", Address: listener.Addr().String()}
	second := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "second") })
	w := newWorld(t, newScriptedRouter(crowded, second.instance), func(_ *world, options *Options) {
		options.Upstream.ResetWait = 100 * time.Millisecond
	})
	got := w.do(post("/unsafe/a", "r1", "body"))
	assert.Equal(t, got.body, "second")
	w.port.awaitEnds(t, 1)
	outcome := w.port.outcome(t, 0)
	assert.Equal(t, outcome.Verdict, verdict.NotRun)
	// The reset may also come while the connection is being set up.
	assert.Assert(t, outcome.NotExecuted || outcome.ConnectFailed)
	assert.Equal(t, outcome.Status, 0)
}

// TestRouterRefusalBecomes503: nothing was sent, so the client is told when to come again.
func TestRouterRefusalBecomes503(t *testing.T) {
	w := newWorld(t, newScriptedRouter())
	got := w.do(post("/unsafe/a", "r1", "body"))
	assert.Equal(t, got.StatusCode, 503)
	assert.Equal(t, got.Header.Get(headerRetryAfter), "0.250")
	assert.Equal(t, got.Header.Get(headerRequestID), "r1")
}
