package kvindex

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// eventPollInterval lies between the starts of two calls to the same source.
	eventPollInterval = time.Second
	// maxLongPoll is the most a call may be held (PROTOCOL.md, "KV cache").
	maxLongPoll = time.Second
	// minBackoff follows a call that failed; it doubles up to lastBackoff.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// callTimeout is how long the shell's own end of a call is waited for.
	callTimeout = 4 * time.Second
	// maxCachedParts bounds how many parts of one source a home remembers.
	maxCachedParts = 16384
)

// Source is a broker or store whose events this node polls.
type Source struct {
	Instance string // instance id; empty: a store
	Address  string // IP:port
	Service  string
	Zone     string
}

// name is the source's among the holders of the index.
func (s *Source) name() string {
	if s.Instance == "" {
		return StoreName(s.Address)
	}
	return s.Instance
}

// partKey is a part under a salt.
type partKey struct{ salt, part uint64 }

// cachedPart is how much of a part is kept, and which change told of it.
type cachedPart struct {
	tokens       uint32
	changeNumber uint64
}

// source is what a home knows of one Source.
type source struct {
	Source
	number      uint64 // order among the sources of this home
	epoch       uint64 // of its events; 0: none seen
	cursor      uint64
	cached      map[partKey]cachedPart
	changeCount uint64 // changes so far
	callID      uint64 // of the call that is out; 0: none
	calledAt    core.Time
	nextCallAt  core.Time
	failures    int
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

func (s *source) backOff(now core.Time) {
	s.callID = 0
	s.nextCallAt = now + min(minBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
}

// handleEvents takes events in. reset: all that was kept before is gone; changed are the parts that changed.
func (s *source) handleEvents(events *Events, now core.Time) (reset bool, changed []partKey) {
	s.callID = 0
	s.failures = 0
	s.nextCallAt = max(now, s.calledAt+eventPollInterval)
	if s.epoch != events.Epoch {
		reset = s.epoch != 0
		clear(s.cached)
		s.epoch = events.Epoch
		if s.cursor > 0 { // numbered anew: what lies before is asked for once more
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

// recordPart reports whether what is kept of a part changed.
func (s *source) recordPart(key partKey, tokens uint32) bool {
	before, known := s.cached[key]
	if tokens == 0 {
		delete(s.cached, key)
		return known
	}
	s.changeCount++
	s.cached[key] = cachedPart{tokens: tokens, changeNumber: s.changeCount}
	return before.tokens != tokens
}

// evictStale takes out the parts that were told of longest ago where there are too many: events that never came have left some
// behind that are not kept any more.
func (s *source) evictStale() []partKey {
	if len(s.cached) <= maxCachedParts {
		return nil
	}
	var old []partKey
	for key, part := range s.cached {
		if part.changeNumber+maxCachedParts*7/8 <= s.changeCount {
			old = append(old, key)
			delete(s.cached, key)
		}
	}
	return old
}
