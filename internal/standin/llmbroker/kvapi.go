package llmbroker

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// The paths of calls about kept parts. Source: PROTOCOL.md, "KV cache".
const (
	pathEvents = "/kestrelspread/kv-events"
	pathList   = "/kestrelspread/kv-list"
	// pathSave is this package's own: brokers bring parts to a store with it.
	pathSave = "/standin/parts"
)

// longestWait is the most a call for events may be held.
const longestWait = time.Second

type eventsBody struct {
	Epoch  uint64  `json:"epoch"`
	Next   uint64  `json:"nextPageToken"`
	Lost   bool    `json:"lost"`
	Events [][]any `json:"events"`
}

type listBody struct {
	Epoch uint64  `json:"epoch"`
	Next  uint64  `json:"nextPageToken"`
	Held  [][]any `json:"held"`
}

// savedParts is what a broker brings to a store.
type savedParts struct {
	Salt  string
	Model string
	Parts []Part
}

// kvAPI serves the calls about kept parts; no slot is needed for them.
type kvAPI struct {
	parts   *partStore
	callers chan struct{} // one place for each call that may be held at once
}

func newKVAPI(capacity, callers int) *kvAPI {
	return &kvAPI{parts: newPartStore(capacity), callers: make(chan struct{}, max(callers, 1))}
}

// serves reports whether a path is one of this API's.
func (k *kvAPI) serves(path string) bool { return path == pathEvents || path == pathList }

// ServeHTTP implements http.Handler; a call over the number that may be held at once is refused.
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

func (k *kvAPI) events(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.Header.Get(headerWait))
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, longestWait))
	defer cancel()
	k.parts.await(ctx, since)
	events, next, lost, _ := k.parts.since(since)
	body := eventsBody{Epoch: k.parts.epoch, Next: next, Lost: lost, Events: [][]any{}}
	for _, event := range events {
		body.Events = append(body.Events, []any{event.number, event.sign, event.key.salt, event.key.id, event.tokens, event.model})
	}
	writeJSON(w, http.StatusOK, body)
}

func (k *kvAPI) list(w http.ResponseWriter) {
	p := k.parts
	p.mutex.Lock()
	body := listBody{Epoch: p.epoch, Next: p.last, Held: [][]any{}}
	for key, tokens := range p.kept {
		body.Held = append(body.Held, []any{key.salt, key.id, tokens, p.models[key]})
	}
	p.mutex.Unlock()
	writeJSON(w, http.StatusOK, body)
}

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
