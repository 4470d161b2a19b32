package llmbroker

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Block is a block of a prompt, as X-Kestrelspread-Prompt-Prefix names it.
type Block struct {
	ID     string `json:"ID"` // hexadecimal
	Tokens int    `json:"Tokens"`
}

// ParseBlocks parses X-Kestrelspread-Prompt-Prefix: ID:TOKENS, separated by commas. Invalid items are skipped.
func ParseBlocks(text string) []Block {
	var parts []Block
	for item := range strings.SplitSeq(text, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(count)
		if found && err == nil && tokens > 0 {
			parts = append(parts, Block{ID: id, Tokens: tokens})
		}
	}
	return parts
}

// blockKey identifies a cached block.
type blockKey struct{ salt, id string }

// blockEvent is an entry of kv-events.
type blockEvent struct {
	number uint64
	change string
	key    blockKey
	tokens int
	model  string
}

// maxEvents is the number of retained events.
const maxEvents = 1024

// blockCache is an LRU cache of blocks by salt, which records its changes as events.
type blockCache struct {
	mutex          sync.Mutex
	capacityTokens int // at least 1
	epoch          uint64
	tokensByBlock  map[blockKey]int
	models         map[blockKey]string
	byLastUse      []blockKey // least recent first
	totalTokens    int
	lastEvent      uint64 // number of the newest event
	events         []blockEvent
	changed        chan struct{} // closed at the next event
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{
		capacityTokens: max(capacity, 1), epoch: uint64(time.Now().UnixNano()), tokensByBlock: map[blockKey]int{},
		models: map[blockKey]string{}, changed: make(chan struct{}),
	}
}

// use records the use of a prompt's blocks, caches the missing ones, and returns the tokens of the prefix that was cached before.
func (c *blockCache) use(salt, model string, blocks []Block) (cached int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	inPrefix := true
	for _, block := range blocks {
		key := blockKey{salt, block.ID}
		if _, kept := c.tokensByBlock[key]; kept {
			if inPrefix {
				cached += block.Tokens
			}
			c.removeUse(key)
		} else {
			inPrefix = false
			c.tokensByBlock[key], c.models[key] = block.Tokens, model
			c.totalTokens += block.Tokens
			c.addEvent("+", key, block.Tokens)
		}
		c.byLastUse = append(c.byLastUse, key)
	}
	for c.totalTokens > c.capacityTokens && len(c.byLastUse) > 0 {
		c.evict(c.byLastUse[0])
		c.byLastUse = c.byLastUse[1:]
	}
	return cached
}

// removeUse takes a block out of the order of use. c.mutex must be held.
func (c *blockCache) removeUse(key blockKey) {
	for i, candidate := range c.byLastUse {
		if candidate == key {
			c.byLastUse = append(c.byLastUse[:i], c.byLastUse[i+1:]...)
			return
		}
	}
}

// evict drops a block. c.mutex must be held.
func (c *blockCache) evict(key blockKey) {
	c.totalTokens -= c.tokensByBlock[key]
	delete(c.tokensByBlock, key)
	c.addEvent("-", key, 0)
	delete(c.models, key)
}

// clear drops all blocks.
func (c *blockCache) clear() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, key := range c.byLastUse {
		c.evict(key)
	}
	c.byLastUse = nil
}

// addEvent records a change, and wakes who waits for events. c.mutex must be held.
func (c *blockCache) addEvent(sign string, key blockKey, tokens int) {
	c.lastEvent++
	c.events = append(c.events, blockEvent{c.lastEvent, sign, key, tokens, c.models[key]})
	if len(c.events) > maxEvents {
		c.events = append([]blockEvent(nil), c.events[len(c.events)-maxEvents:]...)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// since returns the events after a number, and whether earlier ones were lost.
func (c *blockCache) since(number uint64) (events []blockEvent, next uint64, lost bool, changed <-chan struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, event := range c.events {
		if event.number > number {
			events = append(events, event)
		}
	}
	lost = len(events) > 0 && events[0].number != number+1
	return events, c.lastEvent, lost, c.changed
}

// await waits until there are events after a number, or ctx ends.
func (c *blockCache) await(ctx context.Context, number uint64) {
	for {
		events, _, _, changed := c.since(number)
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

// usedTokens is the number of cached tokens.
func (c *blockCache) usedTokens() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.totalTokens
}
