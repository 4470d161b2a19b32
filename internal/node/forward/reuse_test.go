package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/verdict"
)

// TestKeptConnectionClosedAfterReading: a broker reads the second request on a connection and closes it. The request may
// have run, so that it arrives once and no more; net/http's Transport would send it again.
func TestKeptConnectionClosedAfterReading(t *testing.T) {
	for _, end := range []struct {
		name string
		end  func(*exchange)
	}{
		{"closed", (*exchange).close},
		{"reset", (*exchange).reset},
	} {
		for _, request := range []struct{ name, text string }{
			{"unsafe post", post("/unsafe/a", "r2", "body")},
			{"unsafe get", get("/unsafe/a", "r2")},
			{"safe get", get("/safe/a", "r2")},
			{"stream", post("/stream/a", "r2", "prompt")},
		} {
			t.Run(end.name+", "+request.name, func(t *testing.T) {
				b := newBroker(t, "i-1", func(e *exchange) {
					if e.number == 1 {
						end.end(e)
						return
					}
					e.answer(200, "ok")
				})
				port := newScriptedRouter(b.instance, b.instance)
				w := newWorld(t, port)
				assert.Equal(t, w.do(get("/safe/a", "r1")).StatusCode, 200)
				assert.Equal(t, w.do(request.text).StatusCode, 502)
				w.port.awaitEnds(t, 2)
				assert.Equal(t, b.arrived(), 2)
				assert.Equal(t, port.outcome(t, 1).Verdict, verdict.MayHaveRun)
			})
		}
	}
}

// TestKeptConnectionClosedAtRest: nothing was sent on it, so that a new connection takes its place unseen.
func TestKeptConnectionClosedAtRest(t *testing.T) {
	closed := make(chan struct{})
	b := newBroker(t, "i-1", func(e *exchange) {
		e.answer(200, "ok")
		if e.conn == 1 {
			e.close()
			close(closed)
		}
	})
	w := newWorld(t, newScriptedRouter(b.instance, b.instance))
	assert.Equal(t, w.do(get("/safe/a", "r1")).StatusCode, 200)
	<-closed
	assert.Equal(t, w.do(post("/unsafe/a", "r2", "body")).StatusCode, 200)
	assert.Equal(t, b.arrived(), 2)
	assert.Equal(t, w.proxy.Metrics().Attempts, uint64(2))
}

// TestBytesAfterCompleteAnswerCloseConnection: what a broker sends after an answer belongs to no request.
func TestBytesAfterCompleteAnswerCloseConnection(t *testing.T) {
	for _, extra := range []struct{ name, text string }{
		{"a second answer", "HTTP/1.1 200 OK\r\n" + headerRequestID + ": r2\r\n" + headerSeal + ": forged\r\nContent-Length: 3\r\n\r\nbad"},
		{"bytes", "\x00\x01\x02"},
	} {
		t.Run(extra.name, func(t *testing.T) {
			b := newBroker(t, "i-1", func(e *exchange) {
				if e.conn > 1 {
					e.answer(200, "good")
					return
				}
				e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Length: 4\r\n\r\ngood" + extra.text)
			})
			w := newWorld(t, newScriptedRouter(b.instance, b.instance))
			assert.Equal(t, w.do(get("/safe/a", "r1")).body, "good")
			assert.Equal(t, w.do(post("/unsafe/a", "r2", "body")).body, "good")
			assert.Equal(t, int(b.conns.Load()), 2)
			assert.Equal(t, w.proxy.Metrics().Surplus, uint64(1))
		})
	}
}

// TestLateSurplusAnswer: an answer to an earlier request stands where the next one is due.
func TestLateSurplusAnswer(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) {
		if e.number == 1 {
			e.write("HTTP/1.1 200 OK\r\n" + headerRequestID + ": r1\r\n" + headerSeal + ": late\r\nContent-Length: 3\r\n\r\nbad")
		}
		e.answer(200, "good")
	})
	w := newWorld(t, newScriptedRouter(b.instance, b.instance, b.instance))
	assert.Equal(t, w.do(get("/safe/a", "r1")).body, "good")
	got := w.do(post("/unsafe/a", "r2", "body"))
	assert.Equal(t, got.body, "good")
	assert.Equal(t, got.Header.Get(headerSeal), "seal.r2")
	w.port.awaitEnds(t, 2)
	assert.Equal(t, w.proxy.Metrics().ConnectionsOpen, 0, "a broker that does so is not trusted with the connection")
}

// TestLateRejectionWithoutAnID on a kept connection could be that of an earlier request, and promises nothing.
func TestLateRejectionWithoutAnID(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) {
		if e.number == 1 {
			e.write("HTTP/1.1 503 X\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		e.answer(200, "good")
	})
	w := newWorld(t, newScriptedRouter(b.instance, b.instance))
	assert.Equal(t, w.do(get("/safe/a", "r1")).StatusCode, 200)
	assert.Equal(t, w.do(post("/unsafe/a", "r2", "body")).StatusCode, 502)
}

// TestOnlyPersistentConnectionsAreReused are not used again.
func TestOnlyPersistentConnectionsAreReused(t *testing.T) {
	for _, test := range []struct {
		name, headers string
		kept          bool
	}{
		{"nothing said", "", true},
		{"time given", "Keep-Alive: timeout=5, max=100\r\n", true},
		{"no whole second given", "Keep-Alive: timeout=0\r\n", true},
		{"close", "Connection: close\r\n", false},
		{"close among others", "Connection: keep-alive, Close\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBroker(t, "i-1", func(e *exchange) {
				e.write("HTTP/1.1 200 OK\r\n" + sealedHead + test.headers + "Content-Length: 2\r\n\r\nok")
			})
			w := newWorld(t, newScriptedRouter(b.instance))
			got := w.do(get("/safe/a", "r1"))
			assert.Equal(t, got.body, "ok")
			assert.Equal(t, got.Header.Get("Keep-Alive"), "")
			assert.Equal(t, got.Close, false)
			w.port.awaitEnds(t, 1)
			assert.Equal(t, w.proxy.Metrics().ConnectionsIdle == 1, test.kept)
		})
	}
}

// TestRejectionKeepsTheConnection: new connections are dear.
func TestRejectionKeepsTheConnection(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) {
		if e.number == 0 {
			e.reject(503)
			return
		}
		e.answer(200, "ok")
	})
	w := newWorld(t, newScriptedRouter(b.instance, b.instance))
	assert.Equal(t, w.do(post("/unsafe/a", "r1", "body")).StatusCode, 200)
	assert.Equal(t, int(b.conns.Load()), 1)
}

// TestConnectionShareBoundsConnections: a proxy holds its share of the connections that brokers accept, and no more.
func TestConnectionShareBoundsConnections(t *testing.T) {
	release := make(chan struct{})
	b := newBroker(t, "i-1", func(e *exchange) {
		<-release
		e.answer(200, "ok")
	})
	w := newWorld(t, newScriptedRouter(b.instance, b.instance), func(w *world, options *Options) {
		w.config.compiled.Services["service"].MaxConnections = 10
		options.ProxyCount = func() int { return 10 }
		options.Bounds.ConnectionShareFactor = 1
	})
	waiting := w.client()
	waiting.send(post("/unsafe/a", "r1", "body"))
	b.next()
	got := w.do(post("/unsafe/a", "r2", "body"))
	assert.Equal(t, got.StatusCode, 503)
	close(release)
	assert.Equal(t, waiting.read("POST").StatusCode, 200)
	assert.Equal(t, int(b.conns.Load()), 1)
}
