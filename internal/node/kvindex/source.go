package kvindex

import (
	"time"

	"kestrelspread/internal/node/core"
)

const (
	// pollPeriod lies between the starts of two calls to the same source.
	pollPeriod = time.Second
	// longestWait is the most a call may be held (PROTOCOL.md, "KV cache").
	longestWait = time.Second
	// firstBackoff follows a call that failed; it doubles up to lastBackoff.
	firstBackoff = time.Second
	lastBackoff  = 8 * time.Second
	// answerTimeout is how long the shell's own end of a call is waited for.
	answerTimeout = 4 * time.Second
	// mostParts bounds how many parts of one source a home remembers.
	mostParts = 16384
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

// keptPart is how much of a part is kept, and which change told of it.
type keptPart struct {
	tokens uint32
	noted  uint64
}

// source is what a home knows of one Source.
type source struct {
	Source
	number   uint64 // order among the sources of this home
	epoch    uint64 // of its events; 0: none seen
	since    uint64
	kept     map[partKey]keptPart
	noted    uint64 // changes so far
	token    uint64 // of the call that is out; 0: none
	calledAt core.Time
	nextAt   core.Time
	failures int
}

// due reports whether a call is to be made now.
func (s *source) due(now core.Time) bool {
	if s.token != 0 {
		return now >= s.calledAt+answerTimeout
	}
	return now >= s.nextAt
}

// deadline is when the source is due next.
func (s *source) deadline() core.Time {
	if s.token != 0 {
		return s.calledAt + answerTimeout
	}
	return s.nextAt
}

func (s *source) failed(now core.Time) {
	s.token = 0
	s.nextAt = now + min(firstBackoff<<min(s.failures, 10), lastBackoff)
	s.failures++
}

// answered takes events in. reset: all that was kept before is gone; changed are the parts that changed.
func (s *source) answered(events *Events, now core.Time) (reset bool, changed []partKey) {
	s.token = 0
	s.failures = 0
	s.nextAt = max(now, s.calledAt+pollPeriod)
	if s.epoch != events.Epoch {
		reset = s.epoch != 0
		clear(s.kept)
		s.epoch = events.Epoch
		if s.since > 0 { // numbered anew: what lies before is asked for once more
			s.since = 0
			s.nextAt = now
			return reset, nil
		}
	}
	s.since = events.Next
	for _, event := range events.List {
		key := partKey{event.Salt, event.Part}
		if s.note(key, uint32(event.Tokens)) {
			changed = append(changed, key)
		}
	}
	return reset, append(changed, s.outdated()...)
}

// note reports whether what is kept of a part changed.
func (s *source) note(key partKey, tokens uint32) bool {
	before, known := s.kept[key]
	if tokens == 0 {
		delete(s.kept, key)
		return known
	}
	s.noted++
	s.kept[key] = keptPart{tokens: tokens, noted: s.noted}
	return before.tokens != tokens
}

// outdated takes out the parts that were told of longest ago where there are too many: events that never came have left some
// behind that are not kept any more.
func (s *source) outdated() []partKey {
	if len(s.kept) <= mostParts {
		return nil
	}
	var old []partKey
	for key, part := range s.kept {
		if part.noted+mostParts*7/8 <= s.noted {
			old = append(old, key)
			delete(s.kept, key)
		}
	}
	return old
}
