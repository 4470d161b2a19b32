package forward

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/routing"
)

// TestRequestLineIsUnchanged: method, path and query reach the broker byte by byte (RULES.md, UNASKED).
func TestRequestLineIsUnchanged(t *testing.T) {
	for _, line := range []string{
		"GET /safe/a",
		"GET /safe/",
		"GET /safe/a/../b/./c//d/",
		"GET /safe/%61%2Fb%2e%2e/c",
		"GET /safe/a?x=1&y=%zz;z=a+b&&=?",
		"GET /safe/a?",
		"GET /safe/a%00b%C3%28",
		"GET /safe/a;b=c,d:e@f!$'()*",
		"GET /safe/\"<>\\^`{|}",
		"DELETE /safe/a",
		"PURGE /safe/a",
		"OPTIONS /safe/a",
		"get /safe/a",
	} {
		t.Run(line, func(t *testing.T) {
			b := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
			w := newWorld(t, newScriptedRouter(b.instance))
			method, path, _ := strings.Cut(line, " ")
			got := w.do(requestText(method, path, "r1", ""))
			assert.Equal(t, got.StatusCode, 200)
			first, _, _ := strings.Cut(b.next().raw, "\r\n")
			assert.Equal(t, first, line+" HTTP/1.1")
		})
	}
}

// TestBodyIsUnchanged for bodies with a length and in chunks, of any size.
func TestBodyIsUnchanged(t *testing.T) {
	for _, size := range []int{0, 1, 100, 4095, 4096, 8192, 8193, 110 << 10, 1 << 20} {
		var text strings.Builder
		for text.Len() < size {
			fmt.Fprintf(&text, "%d\r\n", text.Len())
		}
		body := text.String()[:size]
		for _, request := range []struct{ name, text string }{
			{"length", post("/unsafe/a", "r1", body)},
			{"one chunk", chunked("/unsafe/a", "r1", body, max(size, 1))},
			{"small chunks", chunked("/unsafe/a", "r1", body, size/50+1)},
		} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, request.name), func(t *testing.T) {
				b := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
				w := newWorld(t, newScriptedRouter(b.instance))
				assert.Equal(t, w.do(request.text).StatusCode, 200)
				arrived := b.next()
				assert.Assert(t, arrived.body == body, "%d bytes arrived", len(arrived.body))
				assert.Equal(t, arrived.request.Header.Get("Content-Length"), strconv.Itoa(size))
				assert.Equal(t, len(arrived.request.TransferEncoding), 0)
			})
		}
	}
}

// chunked is a request whose body comes in chunks of a size.
func chunked(path, id, body string, size int) string {
	var text strings.Builder
	text.WriteString(requestText("POST", path, id, "", "Transfer-Encoding: chunked"))
	for len(body) > 0 {
		chunk := body[:min(size, len(body))]
		body = body[len(chunk):]
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	text.WriteString("0\r\n\r\n")
	return text.String()
}

// TestHeadersSentToBroker: what the client sent is passed on, except for what concerns one connection and what is ours.
func TestHeadersSentToBroker(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	port := newScriptedRouter(b.instance)
	port.attempt = func(attempt *routing.Attempt) {
		attempt.ExpectVersion = 3
		attempt.Salt = "salt"
		attempt.FetchFrom = "10.0.0.1:80"
		attempt.SaveTo = "10.0.0.2:80"
		attempt.Priority = 4
	}
	w := newWorld(t, port, func(w *world, _ *Options) {
		w.config.compiled.Services["service"].Engine = &config.Engine{Slots: 8}
		w.config.compiled.TenantsInUse = true
		w.config.compiled.Tenants = map[string]*config.Tenant{"key": {Name: "acme"}}
	})
	got := w.do(post("/unsafe/a", "r1", "body",
		"X-Kestrelspread-Deadline-Ms: 4000",
		"X-Kestrelspread-Model: daka",
		"User-Agent: probe/1",
		"Accept-Encoding: identity",
		"X-Twice: one", "X-Twice: two",
		"X-Empty:",
		"Cookie: a=b; c=d",
		"Last-Event-ID: 17",
		"Te: trailers", "Trailer: X-Late", "Keep-Alive: timeout=3", "Upgrade: h2c", "Proxy-Authorization: x",
		"Proxy-Connection: keep-alive",
		"Connection: keep-alive, X-Hop", "X-Hop: hidden",
		"Authorization: Bearer key",
		"X-Kestrelspread-Tenant-Id: intruder",
		"X-Kestrelspread-Expect-Instance: i-other",
		"Expect-Version: 1", "Cache-Salt: mine", "Kv-Fetch: evil:1", "Kv-Save: evil:2", "Priority: 0"))
	assert.Equal(t, got.StatusCode, 200)
	arrived := b.next()
	left := arrived.request.Header.Get(headerDeadline)
	milliseconds, err := strconv.Atoi(left)
	assert.NilError(t, err)
	assert.Assert(t, milliseconds > 0 && milliseconds <= 4000, left)
	lines := strings.Split(arrived.raw, "\r\n")[1:]
	sort.Strings(lines)
	assert.DeepEqual(t, lines, []string{
		"Accept-Encoding: identity",
		"Cache-Salt: salt",
		"Content-Length: 4",
		"Cookie: a=b; c=d",
		"Expect-Version: 3",
		"Host: host.example",
		"Kv-Fetch: 10.0.0.1:80",
		"Kv-Save: 10.0.0.2:80",
		"Last-Event-Id: 17",
		"Priority: 4",
		"User-Agent: probe/1",
		"X-Empty: ",
		"X-Kestrelspread-Deadline-Ms: " + left,
		"X-Kestrelspread-Expect-Instance: i-1",
		"X-Kestrelspread-Model: daka",
		"X-Kestrelspread-Request-Id: r1",
		"X-Kestrelspread-Tenant-Id: acme",
		"X-Twice: one",
		"X-Twice: two",
	})
}

// TestNoHeaderIsAddedForBroker: a plain request gets no headers that nobody asked for.
func TestNoHeaderIsAddedForBroker(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	w := newWorld(t, newScriptedRouter(b.instance))
	w.do(get("/safe/a", "r1", "X-Kestrelspread-Tenant-Id: intruder", "Authorization: Bearer unasked"))
	lines := strings.Split(b.next().raw, "\r\n")[1:]
	sort.Strings(lines)
	assert.DeepEqual(t, lines, []string{
		"Host: host.example",
		"X-Kestrelspread-Deadline-Ms: " + deadlineOf(lines),
		"X-Kestrelspread-Expect-Instance: i-1",
		"X-Kestrelspread-Request-Id: r1",
	})
}

func deadlineOf(lines []string) string {
	for _, line := range lines {
		if value, found := strings.CutPrefix(line, headerDeadline+": "); found {
			return value
		}
	}
	return "none"
}

// TestHeadersSentToClient: the fleet's own headers and those of one connection stay here.
func TestHeadersSentToClient(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead +
			"X-Kestrelspread-Server-Load: 3,1,8\r\nX-Kestrelspread-Instance-Id: i-1\r\nVersions: 4\r\n" +
			"Keep-Alive: timeout=9\r\nConnection: X-Hop\r\nX-Hop: hidden\r\nProxy-Authenticate: x\r\n" +
			"X-Twice: one\r\nX-Twice: two\r\nSet-Cookie: a=b\r\nContent-Length: 2\r\n\r\nok")
	})
	w := newWorld(t, newScriptedRouter(b.instance))
	got := w.do(get("/safe/a", "r1"))
	assert.DeepEqual(t, got.Header, http.Header{
		headerRequestID:  {"r1"},
		headerSeal:       {"seal.r1"},
		"Versions":       {"4"},
		"X-Twice":        {"one", "two"},
		"Set-Cookie":     {"a=b"},
		"Content-Length": {"2"},
	})
	w.port.awaitEnds(t, 1)
	assert.DeepEqual(t, w.port.outcome(t, 0).Load, &routing.Load{Running: 3, Waiting: 1, Slots: 8})
}

// TestBodiesSentToClient: answers of any framing and size come out as they went in.
func TestBodiesSentToClient(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 40<<10) // 640 KiB
	for _, test := range []struct {
		name, method, answer, body string
		status                     int
	}{
		{"small chunks", "GET", "HTTP/1.1 200 OK\r\n" + sealedHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "abcde", 200},
		{"chunks with a trailer", "GET", "HTTP/1.1 200 OK\r\n" + sealedHead + "Trailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n", "abc", 200},
		{"empty", "GET", "HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Length: 0\r\n\r\n", "", 200},
		{"large with a length", "GET", "HTTP/1.1 200 OK\r\n" + sealedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)) + large, large, 200},
		{"large in chunks", "GET", "HTTP/1.1 200 OK\r\n" + sealedHead + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(large)) + large + "\r\n0\r\n\r\n", large, 200},
		{"no content", "GET", "HTTP/1.1 204 X\r\n" + sealedHead + "\r\n", "", 204},
		{"not modified", "GET", "HTTP/1.1 304 X\r\n" + sealedHead + "Etag: x\r\n\r\n", "", 304},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Length: 12345\r\n\r\n", "", 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBroker(t, "i-1", func(e *exchange) { e.write(test.answer) })
			w := newWorld(t, newScriptedRouter(b.instance))
			got := w.do(requestText(test.method, "/safe/a", "r1", ""))
			assert.NilError(t, got.bodyErr)
			assert.Equal(t, got.StatusCode, test.status)
			assert.Assert(t, got.body == test.body, "%d bytes came", len(got.body))
			assert.Equal(t, got.Header.Get(headerSeal), "seal.r1")
			if test.method == "HEAD" {
				assert.Equal(t, got.Header.Get("Content-Length"), "12345")
			}
			w.port.awaitEnds(t, 1)
			assert.Equal(t, w.proxy.Metrics().ConnectionsIdle, 1)
		})
	}
}

// TestTruncatedLargeAnswerAbortsConnection never looks complete (RULES.md, MIXED).
func TestTruncatedLargeAnswerAbortsConnection(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 40<<10)
	for _, test := range []struct{ name, answer string }{
		{"with a length", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)+1) + large},
		{"in chunks", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(large)) + large + "\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBroker(t, "i-1", func(e *exchange) {
				e.write("HTTP/1.1 200 OK\r\n" + sealedHead + test.answer)
				e.close()
			})
			w := newWorld(t, newScriptedRouter(b.instance, b.instance))
			got := w.do(get("/safe/a", "r1"))
			assert.Assert(t, got.bodyErr != nil)
			w.port.awaitEnds(t, 1)
			assert.Equal(t, b.arrived(), 1)
			assert.Equal(t, w.proxy.Metrics().Aborted, uint64(1))
		})
	}
}
