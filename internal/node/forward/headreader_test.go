package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dialFront connects to the front of a world.
func dialFront(t *testing.T, w *world) net.Conn {
	t.Helper()
	socket, err := net.Dial("tcp4", w.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	assert.NilError(t, socket.SetDeadline(time.Now().Add(testTimeout)))
	return socket
}

// readStatus reads the head of an answer, with what follows to the end of the connection.
func readStatus(t *testing.T, socket net.Conn) *http.Response {
	t.Helper()
	reader := bufio.NewReader(socket)
	answer, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
	return answer
}

// TestHeadOverTheLimitIsRefusedBeforeItsEnd: net/http took up to a megabyte of it, and the scanner as much again.
func TestHeadOverTheLimitIsRefusedBeforeItsEnd(t *testing.T) {
	for name, head := range map[string]string{
		"line":        "GET /safe/a HTTP/1.1\r\na: " + strings.Repeat("x", 64<<10),
		"fields":      "GET /safe/a HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 16<<10),
		"empty lines": strings.Repeat("\r\n", 32<<10),
	} {
		w := newWorld(t, newScriptedRouter())
		socket := dialFront(t, w)
		_, err := io.WriteString(socket, head)
		assert.NilError(t, err)
		answer := readStatus(t, socket)
		assert.Equal(t, answer.StatusCode, http.StatusRequestHeaderFieldsTooLarge, name)
		assert.Assert(t, answer.Close, name)
		assert.Equal(t, w.proxy.clientLimits.partialHeads.used.Load(), int64(0), name)
	}
}

// TestHeadWithoutMemoryIsRefusedWithAPromise, and what it counted is given back.
func TestHeadWithoutMemoryIsRefusedWithAPromise(t *testing.T) {
	w := newWorld(t, newScriptedRouter())
	w.proxy.clientLimits.parsedHeads.max = 1
	socket := dialFront(t, w)
	_, err := io.WriteString(socket, get("/safe/a", "r1"))
	assert.NilError(t, err)
	answer := readStatus(t, socket)
	assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, answer.Header.Get(headerRetryAfter) != "")
	assert.Equal(t, w.proxy.clientLimits.parsedHeads.used.Load(), int64(0))
}

// TestHeadInPartsIsForwardedUnchanged, also where parts of the next request come with it.
func TestHeadInPartsIsForwardedUnchanged(t *testing.T) {
	only := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "ok") })
	w := newWorld(t, newScriptedRouter(only.instance, only.instance, only.instance))
	socket := dialFront(t, w)
	reader := bufio.NewReader(socket)
	filler := "X-Filler: " + strings.Repeat("f", 6000) + "\r\n"
	for number := range 3 {
		text := strings.Replace(get("/safe/a", fmt.Sprintf("r%d", number)), "\r\n", "\r\n"+filler, 1)
		for len(text) > 0 {
			part := min(len(text), 1100)
			_, err := io.WriteString(socket, text[:part])
			assert.NilError(t, err)
			text = text[part:]
		}
		answer, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
	}
	assert.Equal(t, w.proxy.clientLimits.partialHeads.used.Load(), int64(0))
}

// TestParsedHeadIsCountedInFull: what net/http makes of a head is never more than what is counted for it.
func TestParsedHeadIsCountedInFull(t *testing.T) {
	const heads = 50
	for _, field := range []string{"%c:\r\n", "%c%c:\r\n", "%c%c%c: value\r\n", "%c%c-long-name-of-a-field: with a longer value too\r\n"} {
		var lines strings.Builder
		count := 0
		for ; lines.Len() < 16<<10; count++ {
			letter := func(place int) rune { return 'a' + rune(count/place%26) }
			fmt.Fprint(&lines, strings.Split(fmt.Sprintf(field, letter(1), letter(26), letter(26*26)), "%!(EXTRA")[0])
		}
		head := "GET / HTTP/1.1\r\nHost: a\r\n" + lines.String() + "\r\n"
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var kept [heads]*http.Request
		for i := range kept {
			request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			assert.NilError(t, err)
			kept[i] = request
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		parsed := int64(after.HeapAlloc-before.HeapAlloc) / heads
		counted := parsedHeadBytes(framing{headBytes: len(head), headLines: count + 2})
		t.Logf("%q: %d fields, %d bytes parsed, %d counted", field, count, parsed, counted)
		assert.Assert(t, parsed <= counted, "%q", field)
		runtime.KeepAlive(kept)
	}
}
