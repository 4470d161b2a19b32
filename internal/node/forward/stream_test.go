package forward

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"kestrelspread/internal/node/routing"
	"kestrelspread/internal/node/verdict"
)

// events is the text of the events from one id to another.
func events(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		text.WriteString(eventText(id))
	}
	return text.String()
}

// streamOf answers with the events from one id to another and the end.
func streamOf(from, to int) func(*exchange) {
	return func(e *exchange) {
		e.streamHead()
		for id := from; id <= to; id++ {
			e.event(id)
		}
		e.endStream()
	}
}

// breaks lists the ways in which a stream breaks off behind its second event.
var breaks = []struct {
	name string
	end  func(*exchange)
}{
	{"closed between events", func(e *exchange) { e.close() }},
	{"closed in the middle of an event", func(e *exchange) { e.chunk("id: 3\ndata: tok"); e.close() }},
	{"closed in the middle of a chunk", func(e *exchange) { e.write("20\r\nid: 3\ndata: tok"); e.close() }},
	{"closed before the event's empty line", func(e *exchange) { e.chunk("id: 3\ndata: token3\n"); e.close() }},
	{"garbled", func(e *exchange) { e.write("what is this\r\n"); e.close() }},
}

// TestBrokenStreamAbortsConnection where it may not be resumed: complete events came, and the answer does not look complete.
func TestBrokenStreamAbortsConnection(t *testing.T) {
	for _, test := range breaks {
		t.Run(test.name, func(t *testing.T) {
			first := newBroker(t, "i-1", func(e *exchange) {
				e.streamHead()
				e.event(1)
				e.event(2)
				test.end(e)
			})
			second := newBroker(t, "i-2", streamOf(1, 5))
			w := newWorld(t, newScriptedRouter(first.instance, second.instance))
			got := w.do(post("/stream/a", "r1", "prompt"))
			assert.Equal(t, got.StatusCode, 200)
			assert.Assert(t, got.bodyErr != nil)
			assert.Assert(t, strings.HasPrefix(events(1, 2), got.body), got.body)
			w.port.awaitEnds(t, 1)
			assert.Equal(t, second.arrived(), 0)
			assert.Equal(t, w.port.outcome(t, 0).Verdict, verdict.Ran)
			assert.Assert(t, !w.port.outcome(t, 0).Answered)
			assert.Assert(t, !w.port.outcomes[0].resumable)
		})
	}
}

// TestBrokenStreamIsResumed at another broker behind the last complete event, under the first one's head.
func TestBrokenStreamIsResumed(t *testing.T) {
	for _, test := range breaks {
		t.Run(test.name, func(t *testing.T) {
			first := newBroker(t, "i-1", func(e *exchange) {
				e.streamHead()
				e.event(1)
				e.event(2)
				test.end(e)
			})
			second := newBroker(t, "i-2", func(e *exchange) {
				e.write("HTTP/1.1 200 OK\r\n" + headerRequestID + ": ID\r\n" + headerSeal + ": another\r\n" +
					"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				e.chunk(events(3, 4))
				e.event(5)
				e.endStream()
			})
			w := newWorld(t, newScriptedRouter(first.instance, second.instance))
			got := w.do(post("/resumable/a", "r1", "prompt"))
			assert.NilError(t, got.bodyErr)
			assert.Equal(t, got.body, events(1, 5))
			assert.Equal(t, got.Header.Get(headerSeal), "seal.r1")
			arrived := second.next()
			assert.Equal(t, arrived.request.Header.Get("Last-Event-Id"), "2")
			assert.Equal(t, arrived.body, "prompt")
			w.port.awaitEnds(t, 1)
			assert.Assert(t, w.port.outcomes[0].resumable)
			assert.Equal(t, w.proxy.Metrics().Resumed, uint64(1))
		})
	}
}

// TestStreamIsResumedRepeatedly, over brokers that turn it away or fail.
func TestStreamIsResumedRepeatedly(t *testing.T) {
	breakAfter := func(from, to int) func(*exchange) {
		return func(e *exchange) {
			e.streamHead()
			e.chunk(events(from, to) + "id: 99\nda")
			e.close()
		}
	}
	scripts := []func(*exchange){
		breakAfter(1, 2),
		func(e *exchange) { e.reject(503) },
		func(e *exchange) { e.answer(500, "broken") },
		func(e *exchange) { e.answer(200, "not a stream") },
		breakAfter(3, 4),
		func(e *exchange) { e.streamHead(); e.close() },
		streamOf(5, 6),
	}
	port := newScriptedRouter()
	var brokers []*broker
	for i, script := range scripts {
		b := newBroker(t, fmt.Sprintf("i-%d", i), script)
		brokers = append(brokers, b)
		port.instances = append(port.instances, b.instance)
	}
	w := newWorld(t, port)
	got := w.do(post("/resumable/a", "r1", "prompt"))
	assert.NilError(t, got.bodyErr)
	assert.Equal(t, got.body, events(1, 6))
	for i, want := range []string{"", "2", "2", "2", "2", "4", "4"} {
		assert.Equal(t, brokers[i].next().request.Header.Get("Last-Event-Id"), want, "broker %d", i)
	}
}

// TestResumedStreamSkipsSentEvents of a stream that was taken up (RULES.md, ORDER).
func TestResumedStreamSkipsSentEvents(t *testing.T) {
	first := newBroker(t, "i-1", func(e *exchange) {
		e.streamHead()
		e.chunk(events(1, 4))
		e.close()
	})
	second := newBroker(t, "i-2", streamOf(3, 6))
	w := newWorld(t, newScriptedRouter(first.instance, second.instance))
	got := w.do(post("/resumable/a", "r1", "prompt"))
	assert.NilError(t, got.bodyErr)
	assert.Equal(t, got.body, events(1, 6))
}

// TestStreamsThatAreNotResumable end the client's connection.
func TestStreamsThatAreNotResumable(t *testing.T) {
	for _, test := range []struct {
		name          string
		first, second func(*exchange)
	}{
		{"events without ids", func(e *exchange) {
			e.streamHead()
			e.chunk("data: a\n\ndata: b\n\n")
			e.close()
		}, streamOf(1, 3)},
		{"ids that are no numbers", func(e *exchange) {
			e.streamHead()
			e.chunk("id: x\ndata: a\n\n")
			e.close()
		}, streamOf(1, 3)},
		{"second run without ids", func(e *exchange) {
			e.streamHead()
			e.chunk(events(1, 2))
			e.close()
		}, func(e *exchange) {
			e.streamHead()
			e.chunk("data: token3\n\n")
			e.endStream()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := newBroker(t, "i-1", test.first)
			second := newBroker(t, "i-2", test.second)
			w := newWorld(t, newScriptedRouter(first.instance, second.instance))
			got := w.do(post("/resumable/a", "r1", "prompt"))
			assert.Assert(t, got.bodyErr != nil)
			assert.Assert(t, !strings.Contains(got.body, "token3"))
		})
	}
}

// TestStreamWithoutEvent: nothing has gone to the client yet, so that it gets a clean answer.
func TestStreamWithoutEvent(t *testing.T) {
	headOnly := func(e *exchange) {
		e.streamHead()
		e.write("10\r\nid: 1\nda")
		e.close()
	}
	t.Run("not to be repeated", func(t *testing.T) {
		first := newBroker(t, "i-1", headOnly)
		second := newBroker(t, "i-2", streamOf(1, 2))
		w := newWorld(t, newScriptedRouter(first.instance, second.instance))
		got := w.do(post("/stream/a", "r1", "prompt"))
		assert.Equal(t, got.StatusCode, 502)
		assert.Equal(t, got.Header.Get(headerSeal), "")
		assert.Equal(t, second.arrived(), 0)
	})
	t.Run("repeated", func(t *testing.T) {
		first := newBroker(t, "i-1", headOnly)
		second := newBroker(t, "i-2", streamOf(1, 2))
		w := newWorld(t, newScriptedRouter(first.instance, second.instance))
		got := w.do(post("/resumable/a", "r1", "prompt", "Last-Event-Id: 0"))
		assert.Equal(t, got.body, events(1, 2))
		assert.Equal(t, second.next().request.Header.Get("Last-Event-Id"), "0")
	})
	t.Run("ended properly", func(t *testing.T) {
		only := newBroker(t, "i-1", func(e *exchange) { e.streamHead(); e.endStream() })
		w := newWorld(t, newScriptedRouter(only.instance))
		got := w.do(post("/stream/a", "r1", "prompt"))
		assert.Equal(t, got.StatusCode, 200)
		assert.NilError(t, got.bodyErr)
		assert.Equal(t, got.body, "")
	})
}

// TestStreamBodiesAreUnchanged, whatever lines their events have.
func TestStreamBodiesAreUnchanged(t *testing.T) {
	for _, body := range []string{
		"versions: 2\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		": comment\n\nid: 1\ndata: a\n\n",
		"data: a\n\ndata: b\n\n",
		"id: 2\ndata: a\n\nid: 1\ndata: b\n\n",
		"id: 1\ndata: a\n\nid: 2\ndata: an end without its empty line\n",
		"\n\n\nid: 1\ndata: a\n\n\n",
		"no event at all",
		"id: 1\ndata: " + strings.Repeat("long", 20000) + "\n\n",
	} {
		for _, path := range []string{"/stream/a", "/resumable/a"} {
			for _, size := range []int{1, 7, 1000, 100000} {
				only := newBroker(t, "i-1", func(e *exchange) {
					e.streamHead()
					for rest := body; len(rest) > 0; {
						chunk := rest[:min(max(size, len(body)/500), len(rest))]
						rest = rest[len(chunk):]
						e.chunk(chunk)
					}
					e.endStream()
				})
				w := newWorld(t, newScriptedRouter(only.instance))
				got := w.do(post(path, "r1", "prompt"))
				assert.NilError(t, got.bodyErr)
				assert.Assert(t, got.body == body, "%q", got.body[:min(100, len(got.body))])
			}
		}
	}
}

// TestStreamWithALength keeps no length: it could be taken up elsewhere, with another.
func TestStreamWithALength(t *testing.T) {
	body := events(1, 3)
	only := newBroker(t, "i-1", func(e *exchange) {
		e.write("HTTP/1.1 200 OK\r\n" + sealedHead + "Content-Type: text/event-stream; charset=utf-8\r\n" +
			fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body)
	})
	w := newWorld(t, newScriptedRouter(only.instance))
	got := w.do(post("/stream/a", "r1", "prompt"))
	assert.NilError(t, got.bodyErr)
	assert.Equal(t, got.body, body)
	w.port.awaitEnds(t, 1)
	assert.Equal(t, w.proxy.Metrics().ConnectionsIdle, 1)
}

// TestStreamStartsWithItsFirstEvent, for the router.
func TestStreamStartsWithItsFirstEvent(t *testing.T) {
	headOut, proceed := make(chan struct{}), make(chan struct{})
	only := newBroker(t, "i-1", func(e *exchange) {
		e.streamHead()
		close(headOut)
		<-proceed
		e.event(1)
		e.endStream()
	})
	w := newWorld(t, newScriptedRouter(only.instance))
	c := w.client()
	c.send(post("/stream/a", "r1", "prompt"))
	<-headOut
	w.port.mutex.Lock()
	assert.Equal(t, len(w.port.started), 0)
	w.port.mutex.Unlock()
	close(proceed)
	assert.Equal(t, c.read("POST").body, events(1, 1))
	assert.Equal(t, len(w.port.started), 1)
}

// TestStreamWithoutRetryAbortsConnection: a stream that has begun and is refused a second broker is broken off.
func TestStreamWithoutRetryAbortsConnection(t *testing.T) {
	first := newBroker(t, "i-1", func(e *exchange) { e.streamHead(); e.event(1); e.close() })
	port := newScriptedRouter(first.instance)
	port.retries = func(routing.Outcome, bool) bool { return false }
	w := newWorld(t, port)
	got := w.do(post("/resumable/a", "r1", "prompt"))
	assert.Equal(t, got.StatusCode, 200)
	assert.Assert(t, got.bodyErr != nil)
}

// piecewise gives its text in pieces of chosen sizes.
type piecewise struct {
	text  string
	sizes func() int
}

func (p *piecewise) Read(into []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	count := copy(into, p.text[:min(p.sizes(), len(p.text))])
	p.text = p.text[count:]
	return count, nil
}

func (p *piecewise) EndsNow() bool { return false }

// TestEventsAreIndependentOfReadSizes: however a stream is split into reads, only complete events come out, all of them, and each once.
func TestEventsAreIndependentOfReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		count := rapid.IntRange(1, 8).Draw(t, "events")
		var text strings.Builder
		for id := 1; id <= count; id++ {
			text.WriteString(strings.ReplaceAll(eventText(id), "\n", lineEnd))
		}
		after := eventID{number: int64(rapid.IntRange(0, count).Draw(t, "after")), set: true}
		source := &piecewise{text: text.String(), sizes: func() int { return rapid.IntRange(1, 20).Draw(t, "size") }}
		reader := newEventReader(source, after)
		defer reader.release()
		last := after
		var out strings.Builder
		for !reader.ended {
			assert.NilError(t, reader.fill())
			found := reader.takeEventsAfter(last)
			assert.Assert(t, !found.hasUnnumbered)
			assert.Assert(t, len(found.events) == 0 || strings.HasSuffix(string(found.events), lineEnd+lineEnd))
			last = found.lastID
			out.Write(found.events)
		}
		want := strings.ReplaceAll(events(int(after.number)+1, count), "\n", lineEnd)
		assert.Equal(t, out.String(), want)
	})
}
