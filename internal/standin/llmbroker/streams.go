package llmbroker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Piece is the text of an event of a stream: the same in every run of a request, so that a stream can be taken up at
// another broker.
func Piece(uri string, body []byte, number int) string {
	return fmt.Sprintf("%x", hashOf(fmt.Appendf(nil, "%s\n%s\n%d", uri, body, number)))
}

// runModel answers with a stream of events.
func (c *call) runModel(ctx context.Context) {
	engine := c.broker.options.Engine
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !c.broker.engine.admit(c.run, cancel) {
		c.turnAway(http.StatusServiceUnavailable)
		return
	}
	defer c.broker.engine.end(c.run)
	header := c.request.Header
	parts := ParseParts(header.Get(HeaderPromptPrefix))
	prompt, events := tokenCounts(header.Get(HeaderTokenCount))
	cached := c.broker.kv.parts.keep(header.Get(HeaderSalt), engine.Model, parts)
	reading := time.Duration(float64(max(prompt-cached, 0)) / engine.PromptRate * float64(time.Millisecond))
	if !pause(ctx, engine.FirstEvent+reading) {
		c.notBegun()
		return
	}
	version, begun := c.broker.engine.begin(c.run)
	if !begun {
		c.notBegun()
		return
	}
	c.version = version
	c.begin()
	if store := header.Get(HeaderSave); store != "" {
		go c.broker.save(store, savedParts{Salt: header.Get(HeaderSalt), Model: engine.Model, Parts: parts})
	}
	c.stream(ctx, events)
}

// notBegun ends a request that gave no first event: it has not begun to run.
func (c *call) notBegun() {
	if c.request.Context().Err() != nil {
		c.note(func(a *Arrival) { a.Disposition = TurnedAway })
		return
	}
	c.turnAway(http.StatusServiceUnavailable)
}

// tokenCounts reads X-Kestrelspread-Token-Count: the prompt, and the most that is generated.
func tokenCounts(text string) (prompt, generated int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(first))
	generated, _ = strconv.Atoi(strings.TrimSpace(second))
	return max(prompt, 0), max(generated, 1)
}

// stream sends the events after Last-Event-Id, one token each.
func (c *call) stream(ctx context.Context, events int) {
	last, _ := strconv.Atoi(c.request.Header.Get(HeaderLastEventID))
	header := c.writer.Header()
	header.Set(HeaderSeal, Seal(c.broker.id, c.run, uint64(events)))
	header.Set(HeaderVersions, strconv.FormatUint(c.version, 10))
	header.Set("Content-Type", "text/event-stream")
	c.broker.tellLoad(c.writer)
	c.writer.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(c.writer)
	for number := last + 1; number <= events; number++ {
		if number > last+1 && !pause(ctx, c.broker.options.Engine.EventPause) {
			c.reset()
			return
		}
		if _, err := c.writer.Write(c.event(number)); err != nil {
			c.finished(http.StatusOK, err)
			return
		}
		if err := flusher.Flush(); err != nil {
			c.finished(http.StatusOK, err)
			return
		}
	}
	c.finished(http.StatusOK, nil)
}

// event is the text of one event, which names the weights where they have changed since the one before.
func (c *call) event(number int) []byte {
	var text bytes.Buffer
	if version := c.broker.engine.current(); version != c.version {
		c.version = version
		fmt.Fprintf(&text, "versions: %d\n", version)
	}
	piece := Piece(c.request.RequestURI, c.body, number)
	fmt.Fprintf(&text, "id: %d\ndata: %s %s.%d\n\n", number, piece, c.broker.id, c.run)
	return text.Bytes()
}

// reset breaks the stream off: its caller has left, its deadline has passed, or new weights came in mode truncate.
func (c *call) reset() {
	c.finished(http.StatusOK, context.Canceled)
	panic(http.ErrAbortHandler)
}

// save brings parts that were read to a store.
func (b *Broker) save(store string, saved savedParts) {
	body, err := json.Marshal(saved)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(b.life, http.MethodPost, "http://"+store+pathSave, bytes.NewReader(body))
	if err != nil {
		return
	}
	if answer, err := b.saver.Do(request); err == nil {
		_ = answer.Body.Close()
	}
}
