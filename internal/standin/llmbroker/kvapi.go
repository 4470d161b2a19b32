package llmbroker

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// The paths of calls about cached blocks. Source: PROTOCOL.md, "KV cache".
const (
	pathEvents = "/kestrelspread/kv-events"
	pathList   = "/kestrelspread/kv-list"
	// pathSave is private to this package: brokers save blocks to a store with it.
	pathSave = "/standin/parts"
)

// maxWait bounds how long a call waits for events.
const maxWait = time.Second

// eventsBody is the answer to a call for events.
type eventsBody struct {
	Epoch  uint64  `json:"epoch"`
	Next   uint64  `json:"nextPageToken"`
	Lost   bool    `json:"lost"`
	Events [][]any `json:"events"`
}

// listBody is the answer to a call for the list of blocks.
type listBody struct {
	Epoch  uint64  `json:"epoch"`
	Next   uint64  `json:"nextPageToken"`
	Blocks [][]any `json:"held"`
}

// savedBlocks is the body of a call that saves blocks.
type savedBlocks struct {
	Salt   string  `json:"Salt"`
	Model  string  `json:"Model"`
	Blocks []Block `json:"Parts"`
}

// kvAPI serves the calls about cached blocks. They need no slot.
type kvAPI struct {
	blocks  *blockCache
	callers chan struct{} // buffered: limits the concurrent calls
}

// newKVAPI has an empty cache.
func newKVAPI(capacity, callers int) *kvAPI {
	return &kvAPI{blocks: newBlockCache(capacity), callers: make(chan struct{}, max(callers, 1))}
}

// serves reports whether a path belongs to this API.
func (k *kvAPI) serves(path string) bool { return path == pathEvents || path == pathList }

// ServeHTTP implements http.Handler. Calls beyond the limit are rejected.
func (k *kvAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case k.callers <- struct{}{}:
		defer func() { <-k.callers }()
	default:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if r.URL.Path == pathList {
		k.list(w)
		return
	}
	k.events(w, r)
}

// events answers with the events after a number, and waits for one if there are none.
func (k *kvAPI) events(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.Header.Get(headerWait))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWait))
	defer cancel()
	k.blocks.await(ctx, since)
	events, next, lost, _ := k.blocks.since(since)
	body := eventsBody{Epoch: k.blocks.epoch, Next: next, Lost: lost, Events: [][]any{}}
	for _, event := range events {
		body.Events = append(body.Events, []any{event.number, event.change, event.key.salt, event.key.id, event.tokens, event.model})
	}
	writeJSON(w, http.StatusOK, body)
}

// list answers with all cached blocks.
func (k *kvAPI) list(w http.ResponseWriter) {
	cache := k.blocks
	cache.mutex.Lock()
	body := listBody{Epoch: cache.epoch, Next: cache.lastEvent, Blocks: [][]any{}}
	for key, tokens := range cache.tokensByBlock {
		body.Blocks = append(body.Blocks, []any{key.salt, key.id, tokens, cache.models[key]})
	}
	cache.mutex.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
