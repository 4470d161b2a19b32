package store

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"kestrelspread/internal/aggregator/engine"
	"kestrelspread/internal/ledger"
)

// Clocks are the two that the recorder reads.
type Clocks interface {
	WallMs() int64     // Unix ms; may be set at any time
	SteadyMs() float64 // ms of the broker's loop, which never go back
}

const (
	// DurabilityWindow is for how long at most a use is not yet durable while the disk is healthy: a kill loses no more.
	DurabilityWindow = time.Second

	// Of the ledger's clock, ms: ordinary drift, and how long a jump ahead must last.
	maxDriftMs    = 5000
	jumpConfirmMs = 60000

	// maxQueuedRequests may wait for the recorder's goroutine before callers of Exclusive block.
	maxQueuedRequests = 16
)

// Recorder stands between the loop, which reports uses and never waits, and the store, which may.
type Recorder struct {
	store         *Store
	calendar      *ledger.Calendar
	clocks        Clocks
	flushInterval time.Duration
	queryTypes    []string
	customers     []string

	lock        sync.Mutex // held for a map's entry at most
	buffer      *ledger.Buffer
	clock       ledger.Clock
	periodStart int64 // of the period that was found last
	periodEnd   int64

	requests chan func()
	stop     chan struct{}
	stopped  chan struct{} // closed once the goroutine has ended
	durable  atomic.Int64  // searches in entries that are durable
	Commits  atomic.Int64
}

// NewRecorder returns a recorder; Start starts it. The names are those of the broker's settings.
func NewRecorder(s *Store, c *ledger.Calendar, clocks Clocks, queryTypes, customers []string) *Recorder {
	r := &Recorder{
		store:         s,
		calendar:      c,
		clocks:        clocks,
		flushInterval: DurabilityWindow / 4,
		queryTypes:    queryTypes,
		customers:     customers,
		buffer:        ledger.NewBuffer(),
		clock:         ledger.Clock{MaxDriftMs: maxDriftMs, JumpConfirmMs: jumpConfirmMs},
		requests:      make(chan func(), maxQueuedRequests),
		stop:          make(chan struct{}),
		stopped:       make(chan struct{}),
	}
	r.clock.Resume(s.HighestTime)
	return r
}

func nameAt(names []string, i int) string {
	if i >= 0 && i < len(names) {
		return names[i]
	}
	return ""
}

// now returns the ledger's time and the loop's. The lock is held.
func (r *Recorder) now() (ledgerMs int64, steadyMs float64) {
	steadyMs = r.clocks.SteadyMs()
	return r.clock.Now(r.clocks.WallMs(), int64(steadyMs)), steadyMs
}

// period finds the period that holds a time; uses come by the thousand to one period.
func (r *Recorder) period(at int64) int64 {
	if at < r.periodStart || at >= r.periodEnd {
		r.periodStart = r.calendar.PeriodStart(at)
		r.periodEnd = r.calendar.PeriodEnd(r.periodStart)
	}
	return r.periodStart
}

// Record implements engine.Meter: it takes a use. That belongs to the period in which its answer was given, which may have been a
// while before its last sub-request ended.
func (r *Recorder) Record(u *engine.Usage) {
	key, counts := r.keyOf(u), countsOf(u)
	r.lock.Lock()
	defer r.lock.Unlock()
	now, steadyMs := r.now()
	answeredAt := now - int64(max(steadyMs-u.AnsweredAt, 0))
	r.buffer.Add(r.period(answeredAt), key, counts)
}

func (r *Recorder) keyOf(u *engine.Usage) ledger.Key {
	front := ledger.HTTP
	if u.Frontend == 1 {
		front = ledger.GRPC
	}
	return ledger.Key{
		Customer:  nameAt(r.customers, u.Customer),
		QueryType: nameAt(r.queryTypes, u.QueryType),
		Front:     front,
		Outcome:   outcomeOf(u),
	}
}

func outcomeOf(u *engine.Usage) ledger.Outcome {
	switch {
	case u.ClientLeft:
		return ledger.ClientCancelled
	case u.Result == engine.Complete:
		return ledger.Answered
	case u.Result == engine.Partial:
		return ledger.Partial
	case u.Result == engine.Shed:
		return ledger.Shed
	}
	return ledger.Errored
}

func countsOf(u *engine.Usage) ledger.Counts {
	return ledger.Counts{
		ledger.Searches:      1,
		ledger.ShardRequests: int64(u.Shards),
		ledger.FirstAttempts: int64(u.FirstAttempts),
		ledger.Retries:       int64(u.RetryAttempts),
		ledger.Hedges:        int64(u.HedgeAttempts),
		ledger.Cancelled:     int64(u.CancelledAttempts),
		ledger.WorkMicros:    ledger.Micros(u.HintedWorkMs),
		ledger.BytesIn:       u.BytesIn,
		ledger.BytesOut:      u.BytesOut,
		ledger.ServerMicros:  ledger.Micros(u.ServerTimeMs),
	}
}

// Pending returns how many keys wait for the disk, and how many uses were ever taken.
func (r *Recorder) Pending() (keys int, uses int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.buffer.Keys(), r.buffer.Uses()
}

// Start records in a goroutine of its own until Stop.
func (r *Recorder) Start() { go r.run() }

func (r *Recorder) run() {
	defer close(r.stopped)
	ticker := time.NewTicker(r.flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.flush()
		case request := <-r.requests:
			r.flush() // what was used before counts before
			request()
		case <-r.stop:
			r.flush()
			return
		}
	}
}

// flush makes what is buffered durable, and closes the periods that are due. What could not be written stays buffered.
func (r *Recorder) flush() error {
	r.lock.Lock()
	uses := r.buffer.TakeAll()
	now, _ := r.now()
	r.lock.Unlock()
	r.store.Ledger.MarkClosing(r.calendar, now)
	if err := r.commit(r.store.Ledger.UseEntries(uses, r.calendar.PeriodStart(now), now), now); err != nil {
		r.lock.Lock()
		r.buffer.PutBack(uses)
		r.lock.Unlock()
		return err
	}
	return r.commit(r.store.Ledger.CloseEntries(r.calendar, now), now)
}

func (r *Recorder) commit(entries []*ledger.Entry, now int64) error {
	if len(entries) == 0 {
		return nil
	}
	if err := r.store.Commit(entries, now); err != nil {
		return err
	}
	r.Commits.Add(1)
	for _, e := range entries {
		if e.Kind == ledger.Use {
			r.durable.Add(e.Counts[ledger.Searches])
		}
	}
	return nil
}

// DurableSearches counts the searches in entries that are durable.
func (r *Recorder) DurableSearches() int64 { return r.durable.Load() }

// ErrStopped tells that the recorder has ended, or that its disk doesn't respond.
var ErrStopped = errors.New("the ledger is not being written")

// Exclusive runs do on the recorder's goroutine, between two commits, and waits for its end, for timeout at most.
func (r *Recorder) Exclusive(timeout time.Duration, do func(s *Store) error) error {
	done := make(chan error, 1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r.requests <- func() { done <- do(r.store) }:
	case <-r.stopped:
		return ErrStopped
	case <-timer.C:
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-r.stopped:
		return ErrStopped
	case <-timer.C:
		return ErrStopped
	}
}

// Correct posts a correction; known: it was there already.
func (r *Recorder) Correct(timeout time.Duration, request ledger.CorrectionRequest) (entry *ledger.Entry, known bool, err error) {
	err = r.Exclusive(timeout, func(s *Store) (err error) {
		r.lock.Lock()
		now, _ := r.now()
		r.lock.Unlock()
		entry, known, err = s.Ledger.CorrectionEntry(request, r.calendar.PeriodStart(now), now)
		if err != nil || known {
			return err
		}
		return r.commit([]*ledger.Entry{entry}, now)
	})
	return entry, known, err
}

// Stop makes what is buffered durable and ends, or gives up after timeout, as the disk may not respond. It tells whether it
// ended.
func (r *Recorder) Stop(timeout time.Duration) bool {
	close(r.stop)
	select {
	case <-r.stopped:
		return true
	case <-time.After(timeout):
		return false
	}
}
