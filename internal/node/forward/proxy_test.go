package forward

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/verdict"
)

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "hello") })
	w := newWorld(t, newScriptedRouter(b.instance))
	got := w.do(get("/safe/a", "r1"))
	assert.Equal(t, got.StatusCode, 200)
	assert.Equal(t, got.body, "hello")
	assert.Equal(t, got.Header.Get(headerSeal), "seal.r1")
	assert.Equal(t, got.Header.Get(headerRequestID), "r1")
	w.port.awaitEnds(t, 1)
	assert.Equal(t, w.port.outcome(t, 0).Verdict, verdict.Ran)
	assert.Assert(t, w.port.outcome(t, 0).Answered)
}

func TestConnectionIsReused(t *testing.T) {
	b := newBroker(t, "i-1", func(e *exchange) { e.answer(200, "x") })
	w := newWorld(t, newScriptedRouter(b.instance, b.instance, b.instance))
	c := w.client()
	for _, id := range []string{"r1", "r2", "r3"} {
		c.send(post("/unsafe/a", id, "body"))
		assert.Equal(t, c.read("POST").StatusCode, 200)
	}
	assert.Equal(t, int(b.conns.Load()), 1)
	assert.Equal(t, w.proxy.Metrics().ConnectionsReused, uint64(2))
}

func TestStreamIsForwardedEventByEvent(t *testing.T) {
	proceed := make(chan struct{})
	b := newBroker(t, "i-1", func(e *exchange) {
		e.streamHead()
		for id := 1; id <= 3; id++ {
			e.event(id)
			<-proceed
		}
		e.endStream()
	})
	w := newWorld(t, newScriptedRouter(b.instance))
	c := w.client()
	c.send(post("/stream/a", "r1", "prompt"))
	var seen strings.Builder
	for id := 1; id <= 3; id++ {
		for !strings.HasSuffix(seen.String(), eventText(id)) {
			octet, err := c.reader.ReadByte()
			assert.NilError(t, err)
			seen.WriteByte(octet)
		}
		proceed <- struct{}{}
	}
	rest, err := c.reader.ReadString('0')
	assert.NilError(t, err)
	assert.Equal(t, rest, "\r\n0")
	w.port.awaitEnds(t, 1)
	assert.Assert(t, w.port.outcome(t, 0).Answered)
	assert.Equal(t, w.proxy.Metrics().ConnectionsIdle, 1)
}

func TestRejectedRequestGoesToAnotherBroker(t *testing.T) {
	full := newBroker(t, "i-1", func(e *exchange) { e.reject(503) })
	free := newBroker(t, "i-2", func(e *exchange) { e.answer(200, "ok") })
	w := newWorld(t, newScriptedRouter(full.instance, free.instance))
	got := w.do(post("/unsafe/a", "r1", "body"))
	assert.Equal(t, got.StatusCode, 200)
	w.port.awaitEnds(t, 1)
	assert.Equal(t, w.port.outcome(t, 0).Verdict, verdict.NotRun)
	assert.Assert(t, w.port.outcome(t, 0).NotExecuted)
}
