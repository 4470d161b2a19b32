package kvindex

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// eventPollInterval is the least time between the starts of two calls to the same source.
	eventPollInterval = time.Second
	// maxLongPoll is how long a source may hold a call until it has events (PROTOCOL.md, "KV cache").
	maxLongPoll = time.Second
	// minBackoff follows a failed call; it doubles with each further one up to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// callTimeout is when a call without a result counts as lost. It is longer than the timeout of
	// package feed, which reports a result in any case.
	callTimeout = 4 * time.Second
	// maxCachedParts bounds the parts of one source that a home remembers.
	maxCachedParts = 16384
)

// Source is a broker or store whose events this node polls.
type Source struct {
	Instance string // instance id; empty: a store
	Address  string // IP:port
	Service  string
	Zone     string
}

// name returns the source's name as a holder in the index.
func (s *Source) name() string {
	if s.Instance == "" {
		return StoreName(s.Address)
	}
	return s.Instance
}

// partKey is a part under a salt.
type partKey struct{ salt, part uint64 }

// cachedPart is how much of a part a source caches, by its newest event.
type cachedPart struct {
	tokens       uint32
	changeNumber uint64 // number of that event among those of the source
}

// source is what a home knows of one Source.
type source struct {
	Source
	number      uint64 // order among the sources of this home
	epoch       uint64 // of its events, another one after a restart; 0: none received
	cursor      uint64 // page token of the next events
	cached      map[partKey]cachedPart
	changeCount uint64    // events of cached parts so far
	callID      uint64    // of the pending call; 0: none
	calledAt    core.Time // start of the latest call
	nextCallAt  core.Time
	failures    int // failed calls in a row
}

// due reports whether a call is to be made now.
func (s *source) due(now core.Time) bool {
	if s.callID != 0 {
		return now >= s.calledAt+callTimeout
	}
	return now >= s.nextCallAt
}

// deadline is when the source is due next.
func (s *source) deadline() core.Time {
	if s.callID != 0 {
		return s.calledAt + callTimeout
	}
	return s.nextCallAt
}

// handleFailure ends a failed call.
func (s *source) handleFailure(now core.Time) {
	s.callID = 0
	s.nextCallAt = now + min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
}

// handleEvents ends a call that brought events. It reports whether the source has restarted, so that all
// it cached before is lost, and the parts whose state changed.
func (s *source) handleEvents(events *Events, now core.Time) (reset bool, changed []partKey) {
	s.callID = 0
	s.failures = 0
	s.nextCallAt = max(now, s.calledAt+eventPollInterval)
	if s.epoch != events.Epoch {
		reset = s.epoch != 0
		clear(s.cached)
		s.epoch = events.Epoch
		if s.cursor > 0 {
			// The events of the new epoch are numbered from the start: those before the old cursor
			// are missing here and fetched at once.
			s.cursor = 0
			s.nextCallAt = now
			return reset, nil
		}
	}
	s.cursor = events.Next
	for _, event := range events.List {
		key := partKey{event.Salt, event.Part}
		if s.recordPart(key, uint32(event.Tokens)) {
			changed = append(changed, key)
		}
	}
	return reset, append(changed, s.evictStale()...)
}

// recordPart records an event of a part and reports whether it changed the part.
func (s *source) recordPart(key partKey, tokens uint32) bool {
	previous, known := s.cached[key]
	if tokens == 0 {
		delete(s.cached, key)
		return known
	}
	s.changeCount++
	s.cached[key] = cachedPart{tokens: tokens, changeNumber: s.changeCount}
	return previous.tokens != tokens
}

// evictStale removes and returns the parts with the oldest events if there are too many parts: lost
// events have left parts behind that the source no longer caches. It removes an eighth or more, so that
// it seldom has to.
func (s *source) evictStale() []partKey {
	if len(s.cached) <= maxCachedParts {
		return nil
	}
	var stale []partKey
	for key, part := range s.cached {
		if part.changeNumber+maxCachedParts*7/8 <= s.changeCount {
			stale = append(stale, key)
			delete(s.cached, key)
		}
	}
	return stale
}
