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

// EventText is the text of an event of a stream: the same in every run of a request, so that a stream can be resumed at another
// broker.
func EventText(uri string, body []byte, number int) string {
	return fmt.Sprintf("%x", hashOf(fmt.Appendf(nil, "%s\n%s\n%d", uri, body, number)))
}

// runModel runs a request of a model, and answers with a stream of events.
func (c *call) runModel(ctx context.Context) {
	engine := c.broker.options.Engine
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !c.broker.engine.admit(c.run, cancel) {
		c.reject(http.StatusServiceUnavailable)
		return
	}
	defer c.broker.engine.end(c.run)
	header := c.request.Header
	blocks := ParseBlocks(header.Get(HeaderPromptPrefix))
	prompt, events := tokenCounts(header.Get(HeaderTokenCount))
	cached := c.broker.kvCache.blocks.use(header.Get(HeaderSalt), engine.Model, blocks)
	prefill := time.Duration(float64(max(prompt-cached, 0)) / engine.PrefillTokensPerMs * float64(time.Millisecond))
	if !sleep(ctx, engine.FirstEventDelay+prefill) {
		c.endBeforeStart()
		return
	}
	version, begun := c.broker.engine.start(c.run)
	if !begun {
		c.endBeforeStart()
		return
	}
	c.version = version
	c.start()
	if store := header.Get(HeaderSave); store != "" {
		go c.broker.save(store, savedBlocks{Salt: header.Get(HeaderSalt), Model: engine.Model, Blocks: blocks})
	}
	c.stream(ctx, events)
}

// endBeforeStart ends a request before its first event: it has not run.
func (c *call) endBeforeStart() {
	if c.request.Context().Err() != nil {
		c.updateArrival(func(a *Arrival) { a.Disposition = Rejected })
		return
	}
	c.reject(http.StatusServiceUnavailable)
}

// tokenCounts parses X-Kestrelspread-Token-Count: tokens of the prompt, and the maximum to generate.
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
	c.broker.setLoadHeader(c.writer)
	c.writer.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(c.writer)
	for number := last + 1; number <= events; number++ {
		if number > last+1 && !sleep(ctx, c.broker.options.Engine.EventInterval) {
			c.abort()
			return
		}
		if _, err := c.writer.Write(c.event(number)); err != nil {
			c.finish(http.StatusOK, err)
			return
		}
		if err := flusher.Flush(); err != nil {
			c.finish(http.StatusOK, err)
			return
		}
	}
	c.finish(http.StatusOK, nil)
}

// event is the text of one event. It names the version of the weights if that has changed since the previous one.
func (c *call) event(number int) []byte {
	var text bytes.Buffer
	if version := c.broker.engine.currentVersion(); version != c.version {
		c.version = version
		fmt.Fprintf(&text, "versions: %d\n", version)
	}
	content := EventText(c.request.RequestURI, c.body, number)
	fmt.Fprintf(&text, "id: %d\ndata: %s %s.%d\n\n", number, content, c.broker.id, c.run)
	return text.Bytes()
}

// abort truncates the stream: the client has left, the deadline has passed, or an order has mode truncate.
func (c *call) abort() {
	c.finish(http.StatusOK, context.Canceled)
	panic(http.ErrAbortHandler)
}

// save sends the blocks of a prompt to a store.
func (b *Broker) save(store string, saved savedBlocks) {
	body, err := json.Marshal(saved)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(b.lifetime, http.MethodPost, "http://"+store+pathSave, bytes.NewReader(body))
	if err != nil {
		return
	}
	if answer, err := b.saveClient.Do(request); err == nil {
		_ = answer.Body.Close()
	}
}
