package fleet

import (
	"slices"
	"sync"
	"time"
)

// Kind is what may be repeated of a request.
type Kind uint8

// The kinds of requests that clients send.
const (
	Safe Kind = iota
	Unsafe
	Streaming
	kindCount
)

// String gives the kind's name, as configurations have it.
func (k Kind) String() string { return [...]string{"safe", "unsafe", "streaming"}[k] }

// Outcome is how one try of a client ended.
type Outcome uint8

// The outcomes of a try.
const (
	Answered Outcome = iota // with success, whole
	Refused                 // 408, 421, 429 or 503: not run
	Denied                  // another 3xx or 4xx
	Failed                  // another 5xx
	Closed                  // the connection ended, or gave nothing to the client's deadline, without a whole answer
	Unsent                  // no connection, or it ended before the request was written
)

// Record is one try of a client.
type Record struct {
	ID        string
	Kind      Kind
	Prefix    string
	Method    string
	URI       string
	Key       string
	Node      string
	Phase     int
	Try       int // from 0
	FirstTry  time.Time
	SentAt    time.Time // the last byte was written
	EndedAt   time.Time
	Outcome   Outcome
	Status    int  // 0: none
	Late      bool // beyond the objective, or with a pause between events beyond its bound
	Problem   string
	KeptAlive bool // on a connection that had served before

	askedToWait time.Duration // Retry-After
}

// idempotent reports whether the try may run more than once.
func (r *Record) idempotent() bool { return r.Kind == Safe || r.Prefix == prefixDraft }

// mostRecords bounds what a Book holds.
const mostRecords = 500_000

// Book holds the tries of all clients.
type Book struct {
	mutex   sync.Mutex
	records []Record
	phase   int
}

// add notes a try.
func (b *Book) add(record Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.records) < mostRecords {
		b.records = append(b.records, record)
	}
}

// Records gives a copy of all tries.
func (b *Book) Records() []Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.records)
}

// SetPhase has tries of requests that begin from now on counted under a phase.
func (b *Book) SetPhase(phase int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.phase = phase
}

func (b *Book) currentPhase() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.phase
}
