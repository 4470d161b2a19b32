package llmbroker

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Part is a piece of a prompt, as X-Kestrelspread-Prompt-Prefix names it.
type Part struct {
	ID     string // hexadecimal
	Tokens int
}

// ParseParts reads X-Kestrelspread-Prompt-Prefix: ID:TOKENS, separated by commas. What cannot be read is left out.
func ParseParts(text string) []Part {
	var parts []Part
	for item := range strings.SplitSeq(text, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(count)
		if found && err == nil && tokens > 0 {
			parts = append(parts, Part{ID: id, Tokens: tokens})
		}
	}
	return parts
}

// partKey finds a kept part.
type partKey struct{ salt, id string }

// partEvent is an entry of kv-events.
type partEvent struct {
	number uint64
	sign   string
	key    partKey
	tokens int
	model  string
}

// mostEvents is how many events are kept for kv-events.
const mostEvents = 1024

// partStore keeps parts under salts and tells of changes.
type partStore struct {
	mutex    sync.Mutex
	capacity int // tokens; at least 1
	epoch    uint64
	kept     map[partKey]int
	models   map[partKey]string
	used     []partKey // oldest use first
	tokens   int
	last     uint64 // number of the newest event
	events   []partEvent
	changed  chan struct{} // closed at the next event
}

func newPartStore(capacity int) *partStore {
	return &partStore{
		capacity: max(capacity, 1), epoch: uint64(time.Now().UnixNano()), kept: map[partKey]int{},
		models: map[partKey]string{}, changed: make(chan struct{}),
	}
}

// keep notes the use of a prompt's parts, and gives how many tokens at its front were kept before.
func (p *partStore) keep(salt, model string, parts []Part) (cached int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	whole := true
	for _, part := range parts {
		key := partKey{salt, part.ID}
		if _, kept := p.kept[key]; kept {
			if whole {
				cached += part.Tokens
			}
			p.forgetUse(key)
		} else {
			whole = false
			p.kept[key], p.models[key] = part.Tokens, model
			p.tokens += part.Tokens
			p.tell("+", key, part.Tokens)
		}
		p.used = append(p.used, key)
	}
	for p.tokens > p.capacity && len(p.used) > 0 {
		p.drop(p.used[0])
		p.used = p.used[1:]
	}
	return cached
}

func (p *partStore) forgetUse(key partKey) {
	for i, used := range p.used {
		if used == key {
			p.used = append(p.used[:i], p.used[i+1:]...)
			return
		}
	}
}

func (p *partStore) drop(key partKey) {
	p.tokens -= p.kept[key]
	delete(p.kept, key)
	p.tell("-", key, 0)
	delete(p.models, key)
}

// clear drops everything: new weights came.
func (p *partStore) clear() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, key := range p.used {
		p.drop(key)
	}
	p.used = nil
}

func (p *partStore) tell(sign string, key partKey, tokens int) {
	p.last++
	p.events = append(p.events, partEvent{p.last, sign, key, tokens, p.models[key]})
	if len(p.events) > mostEvents {
		p.events = append([]partEvent(nil), p.events[len(p.events)-mostEvents:]...)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// since gives the events after a number, and whether there is a gap before them.
func (p *partStore) since(number uint64) (events []partEvent, next uint64, lost bool, changed <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, event := range p.events {
		if event.number > number {
			events = append(events, event)
		}
	}
	lost = len(events) > 0 && events[0].number != number+1
	return events, p.last, lost, p.changed
}

// await waits until there are events after a number, or ctx ends.
func (p *partStore) await(ctx context.Context, number uint64) {
	for {
		events, _, _, changed := p.since(number)
		if len(events) > 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (p *partStore) usedTokens() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.tokens
}
