package kvindex

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// eventPollInterval is the least time between the starts of two calls to the same source.
	eventPollInterval = time.Second
	// maxLongPoll is how long a source may delay its response until it has events (PROTOCOL.md, "KV
	// cache").
	maxLongPoll = time.Second
	// minBackoff is the delay after a first failed call. It doubles with each further failure in a row, up
	// to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// callTimeout is the time after which a call without a result counts as lost. It exceeds the timeout
	// of package feed, which reports a result in every case.
	callTimeout = 4 * time.Second
	// maxCachedParts is the greatest number of parts that a home remembers for one source.
	maxCachedParts = 16384
)

// Source identifies a broker or store whose cache events a home polls.
type Source struct {
	Instance string // instance id of a broker; empty for a store
	Address  string // IP:port
	Service  string
	Zone     string
}

// name returns the holder name of the source in the index.
func (s *Source) name() string {
	if s.Instance == "" {
		return StoreName(s.Address)
	}
	return s.Instance
}

// partKey identifies a part under a salt.
type partKey struct{ salt, part uint64 }

// cachedPart is how much of a part a source caches, according to the newest event of the part.
type cachedPart struct {
	tokens       uint32
	changeNumber uint64 // value of source.changeCount at that event
}

// source is a home's state of one Source.
type source struct {
	Source
	number      uint64                 // position in the order in which the home added its sources
	epoch       uint64                 // epoch of its events, which changes with a restart; 0: no events received yet
	cursor      uint64                 // nextPageToken of its latest response
	cached      map[partKey]cachedPart // parts that it caches, by its events
	changeCount uint64                 // events so far that reported a part as cached
	callID      uint64                 // id of the pending call; 0: none
	calledAt    core.Time              // start of the latest call
	nextCallAt  core.Time              // earliest start of the next call
	failures    int                    // failed calls in a row
}

// due reports whether a call is to be started now: none is pending and nextCallAt has passed, or the
// pending one is lost.
func (s *source) due(now core.Time) bool {
	if s.callID != 0 {
		return now >= s.calledAt+callTimeout
	}
	return now >= s.nextCallAt
}

// deadline returns when the source is due next.
func (s *source) deadline() core.Time {
	if s.callID != 0 {
		return s.calledAt + callTimeout
	}
	return s.nextCallAt
}

// handleFailure ends a failed call and schedules the next one after an exponential backoff. The number of
// doublings is capped so that the shift can't overflow.
func (s *source) handleFailure(now core.Time) {
	s.callID = 0
	s.nextCallAt = now + min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
}

// handleEvents ends a call that returned events. It reports whether the source has restarted and so lost
// its whole cache, and returns the parts whose cached size changed.
func (s *source) handleEvents(events *Events, now core.Time) (reset bool, changed []partKey) {
	s.callID = 0
	s.failures = 0
	s.nextCallAt = max(now, s.calledAt+eventPollInterval)
	if s.epoch != events.Epoch {
		reset = s.epoch != 0
		clear(s.cached)
		s.epoch = events.Epoch
		if s.cursor > 0 {
			// The new epoch numbers its events from the start again, so this response lacks those
			// before the old cursor. Fetch all of them without delay.
			s.cursor = 0
			s.nextCallAt = now
			return reset, nil
		}
	}
	s.cursor = events.NextPageToken
	for _, event := range events.List {
		key := partKey{event.Salt, event.Part}
		if s.recordPart(key, uint32(event.Tokens)) {
			changed = append(changed, key)
		}
	}
	return reset, append(changed, s.evictStale()...)
}

// recordPart records an event and reports whether it changed how much of the part is cached.
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

// evictStale removes and returns the parts with the oldest events if there are more than maxCachedParts.
// Too many parts accumulate when events get lost, which leaves parts that the source no longer caches.
// At least an eighth is removed at a time, so that this is seldom necessary.
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
