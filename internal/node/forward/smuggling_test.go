package forward

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// smuggled is a request inside the body of another, which no reading of the bytes may send on.
const smuggled = "POST /unsafe/smuggled HTTP/1.1\r\nHost: host.example\r\nX-Kestrelspread-Request-Id: evil\r\nContent-Length: 0\r\n\r\n"

func head(lines ...string) string {
	return "POST /unsafe/a HTTP/1.1\r\nHost: host.example\r\nX-Kestrelspread-Request-Id: r1\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// malformed lists requests of which two readers could disagree where they end (RFC 9112, sections 2.2, 5, 6 and 7).
var malformed = []struct{ name, text string }{
	{"length and chunks", head("Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n" + smuggled},
	{"chunks and length", head("Transfer-Encoding: chunked", "Content-Length: 5") + "0\r\n\r\n" + smuggled},
	{"two lengths that differ", head("Content-Length: 0", "Content-Length: 5") + smuggled},
	{"two lengths that agree", head("Content-Length: 0", "Content-Length: 0") + smuggled},
	{"a list of lengths", head("Content-Length: 0, 5") + smuggled},
	{"a signed length", head("Content-Length: +0") + smuggled},
	{"a negative length", head("Content-Length: -1") + smuggled},
	{"an empty length", head("Content-Length:") + smuggled},
	{"a length in hex", head("Content-Length: 0x5") + smuggled},
	{"a length that is no number", head("Content-Length: five") + smuggled},
	{"a length beyond all bounds", head("Content-Length: 99999999999999999999") + smuggled},
	{"a space before the colon", head("Content-Length : 5") + smuggled},
	{"a folded line", head("X-Long: a\r\n b") + smuggled},
	{"a folded coding", head("Transfer-Encoding:\r\n chunked") + "0\r\n\r\n" + smuggled},
	{"a folded first line", "POST /unsafe/a HTTP/1.1\r\n Host: host.example\r\nHost: host.example\r\nX-Kestrelspread-Request-Id: r1\r\n\r\n" + smuggled},
	{"lines that end in LF", strings.ReplaceAll(head("Content-Length: 0"), "\r\n", "\n") + smuggled},
	{"one line that ends in LF", head("X-A: b\nContent-Length: 0") + smuggled},
	{"a bare CR in a value", head("X-A: b\rContent-Length: 5") + smuggled},
	{"a bare CR before the end", head("Content-Length: 0\r") + smuggled},
	{"an unknown coding", head("Transfer-Encoding: gzip") + smuggled},
	{"a coding in quotes", head("Transfer-Encoding: \"chunked\"") + "0\r\n\r\n" + smuggled},
	{"a coding with a prefix", head("Transfer-Encoding: xchunked") + "0\r\n\r\n" + smuggled},
	{"two codings", head("Transfer-Encoding: gzip, chunked") + "0\r\n\r\n" + smuggled},
	{"the coding twice", head("Transfer-Encoding: chunked", "Transfer-Encoding: chunked") + "0\r\n\r\n" + smuggled},
	{"identity", head("Transfer-Encoding: identity") + smuggled},
	{"a tab before the coding's end", head("Transfer-Encoding: chunked\v") + "0\r\n\r\n" + smuggled},
	{"chunk size without digits", head("Transfer-Encoding: chunked") + "\r\n" + smuggled},
	{"chunk size that is no number", head("Transfer-Encoding: chunked") + "zz\r\n" + smuggled},
	{"chunk size with a sign", head("Transfer-Encoding: chunked") + "+0\r\n\r\n" + smuggled},
	{"chunk size with 0x", head("Transfer-Encoding: chunked") + "0x0\r\n\r\n" + smuggled},
	{"chunk size beyond all bounds", head("Transfer-Encoding: chunked") + "10000000000000000\r\n" + smuggled},
	{"chunk size ended by LF", head("Transfer-Encoding: chunked") + "0\n\r\n" + smuggled},
	{"chunk longer than its size", head("Transfer-Encoding: chunked") + "1\r\nab\r\n0\r\n\r\n" + smuggled},
	{"chunk ended by LF", head("Transfer-Encoding: chunked") + "1\r\na\n0\r\n\r\n" + smuggled},
	{"trailer ended by LF", head("Transfer-Encoding: chunked") + "0\r\nX: a\n\r\n" + smuggled},
	{"no host", "POST /unsafe/a HTTP/1.1\r\nX-Kestrelspread-Request-Id: r1\r\n\r\n" + smuggled},
	{"two hosts", head("Host: other.example") + smuggled},
	{"a host with a space", "POST /unsafe/a HTTP/1.1\r\nHost: host example\r\nX-Kestrelspread-Request-Id: r1\r\n\r\n" + smuggled},
	{"a line without a colon", head("nonsense") + smuggled},
	{"a name with a control character", head("X\x01: a") + smuggled},
	{"a value with NUL", head("X-A: a\x00b") + smuggled},
	{"two spaces in the request line", "POST  /unsafe/a HTTP/1.1\r\nHost: host.example\r\nX-Kestrelspread-Request-Id: r1\r\n\r\n" + smuggled},
	{"a space in the target", "POST /unsafe/a b HTTP/1.1\r\nHost: host.example\r\nX-Kestrelspread-Request-Id: r1\r\n\r\n" + smuggled},
	{"no version", "POST /unsafe/a\r\nHost: host.example\r\nX-Kestrelspread-Request-Id: r1\r\n\r\n" + smuggled},
	{"a version of the future", "POST /unsafe/a HTTP/1.2\r\nHost: host.example\r\nX-Kestrelspread-Request-Id: r1\r\n\r\n" + smuggled},
	{"a line of spaces", head("  ") + smuggled},
	{"a preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + smuggled},
}

// TestMalformedRequestsAreDenied: none reaches a broker, nor does what follows on the connection, which is closed
// (RULES.md, UNASKED).
func TestMalformedRequestsAreDenied(t *testing.T) {
	for _, test := range malformed {
		t.Run(test.name, func(t *testing.T) {
			b := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
			w := newWorld(t, newScriptedRouter(b.instance, b.instance))
			c := w.client()
			c.send(test.text)
			got := c.read("POST")
			assert.Assert(t, got.StatusCode >= 400 && got.StatusCode < 600, "%d", got.StatusCode)
			assert.Assert(t, got.StatusCode == 400 || got.StatusCode == 501 || got.StatusCode == 505, "%d", got.StatusCode)
			assert.Assert(t, got.Close)
			c.closed()
			assert.Equal(t, b.arrived(), 0)
			assert.Equal(t, len(w.port.requests), 0)
		})
	}
}

// TestPipelinedRequestsAreServedInOrder are answered in order, each with its own answer.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) { e.answer(200, e.body+" of "+e.id()) })
	w := newWorld(t, newScriptedRouter(b.instance, b.instance, b.instance, b.instance))
	c := w.client()
	c.send(post("/unsafe/a", "r1", "first") + chunked("/unsafe/a", "r2", "second", 2) + get("/safe/a", "r3") +
		post("/unsafe/a", "r4", "fourth"))
	assert.Equal(t, c.read("POST").body, "first of r1")
	assert.Equal(t, c.read("POST").body, "second of r2")
	assert.Equal(t, c.read("GET").body, " of r3")
	assert.Equal(t, c.read("POST").body, "fourth of r4")
}

// TestRequestBeforeMalformedOneIsServed: the answers keep their order, and the first is not touched by what follows.
func TestRequestBeforeMalformedOneIsServed(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "of "+e.id()) })
	w := newWorld(t, newScriptedRouter(b.instance, b.instance))
	c := w.client()
	c.send(post("/unsafe/a", "r0", "first") + head("Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n" + smuggled)
	assert.Equal(t, c.read("POST").body, "of r0")
	assert.Equal(t, c.read("POST").StatusCode, 400)
	c.closed()
	assert.Equal(t, b.arrived(), 1)
}

// TestScannerIsIndependentOfReadSizes: however the bytes are split into reads, the scanner finds the same ends of requests.
func TestScannerIsIndependentOfReadSizes(t *testing.T) {
	good := []string{
		get("/safe/a", "r1"),
		"\r\n" + get("/safe/a", "r1"),
		post("/unsafe/a", "r2", "some\r\n\r\nbody"),
		post("/unsafe/a", "r2", ""),
		chunked("/unsafe/a", "r3", "a body in chunks\r\n0\r\n\r\n", 5),
		head("Transfer-Encoding: chunked") + "3;name=\"value\"\r\nabc\r\n0\r\nX-Trailer: a\r\n\r\n",
	}
	rapid.Check(t, func(t *rapid.T) {
		picked := rapid.SliceOfN(rapid.SampledFrom(good), 1, 5).Draw(t, "requests")
		data := []byte(strings.Join(picked, ""))
		var scanner requestScanner
		var ends []int
		for at := 0; at < len(data); {
			step := rapid.IntRange(1, 40).Draw(t, "step")
			taken, err := scanner.scan(data[at:min(at+step, len(data))])
			assert.NilError(t, err)
			assert.Assert(t, taken > 0)
			assert.Assert(t, !scanner.current.malformed)
			at += taken
			if scanner.betweenRequests() {
				ends = append(ends, at)
			}
		}
		var want []int
		end := 0
		for _, text := range picked {
			end += len(text)
			want = append(want, end)
		}
		assert.DeepEqual(t, ends, want)
	})
}

// TestScannerNeverStops: whatever comes, each scan takes a byte or reports an error.
func TestScannerNeverStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{
			"POST / HTTP/1.1", "\r\n", "\n", "\r", " ", "Content-Length:", "Transfer-Encoding:", "chunked", "5", "0", "ffff", ";", "abc",
		})).Draw(t, "pieces"), ""))
		var scanner requestScanner
		for len(data) > 0 {
			taken, err := scanner.scan(data[:min(len(data), 7)])
			if err != nil {
				return
			}
			assert.Assert(t, taken > 0)
			data = data[taken:]
		}
	})
}
