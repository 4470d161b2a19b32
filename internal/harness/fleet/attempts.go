package fleet

import (
	"slices"
	"sync"
	"time"
)

// RequestKind is the kind of a route: whether its requests are idempotent, and whether the answers are streams.
type RequestKind uint8

// The kinds of requests that clients send.
const (
	Safe RequestKind = iota
	Unsafe
	Streaming
	requestKinds
)

// String returns the kind's name, as in configurations.
func (k RequestKind) String() string { return [...]string{"safe", "unsafe", "streaming"}[k] }

// Outcome is how one attempt of a client ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Answered         Outcome = iota // success, complete
	Rejected                        // 408, 421, 429 or 503: did not run
	ClientError                     // another 3xx or 4xx
	ServerError                     // another 5xx
	ConnectionClosed                // the connection ended, or the deadline passed, without a complete answer
	Unsent                          // no connection, or it ended before the request was written
	Left                            // the client closed its connection before it had an answer
)

// Attempt is one attempt of a client to get a request answered.
type Attempt struct {
	ID             string
	Kind           RequestKind
	Prefix         string
	Method         string
	URI            string
	Key            string
	Node           string
	Phase          int
	Number         int // from 0
	FirstAttemptAt time.Time
	SentAt         time.Time // when the last byte was written; zero: it was not
	EndedAt        time.Time
	Outcome        Outcome
	Status         int  // 0: none
	Late           bool // beyond the latency target, or with a gap between events beyond its target
	Defect         string
	KeptAlive      bool // on a reused connection

	retryAfter time.Duration // of Retry-After
}

// idempotent reports whether the attempt may run more than once.
func (r *Attempt) idempotent() bool { return r.Kind == Safe || r.Prefix == prefixDraft }

// maxLoggedAttempts bounds an AttemptLog.
const maxLoggedAttempts = 500_000

// AttemptLog records the attempts of all clients. It is safe for concurrent use.
type AttemptLog struct {
	mutex    sync.Mutex
	attempts []Attempt
	phase    int
}

// add records an attempt.
func (b *AttemptLog) add(attempt Attempt) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.attempts) < maxLoggedAttempts {
		b.attempts = append(b.attempts, attempt)
	}
}

// All returns a copy of all attempts.
func (b *AttemptLog) All() []Attempt {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.attempts)
}

// SetPhase assigns requests that start from now on to a phase.
func (b *AttemptLog) SetPhase(phase int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.phase = phase
}

// currentPhase is the phase of requests that start now.
func (b *AttemptLog) currentPhase() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.phase
}
