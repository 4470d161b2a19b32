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

// Recorder stands between the loop, which tells of uses and never waits, and the store, which may.
type Recorder struct {
	store         *Store
	calendar      *ledger.Calendar
	clocks        Clocks
	flushInterval time.Duration
	queryTypes    []string
	customers     []string

	lock                   sync.Mutex // held for a map's entry at most
	buffer                 *ledger.Buffer
	clock                  ledger.Clock
	periodStart, periodEnd int64 // of the period that was found last

	requests chan func()
	stop     chan struct{}
	stopped  chan struct{}
	durable  atomic.Int64 // uses in entries that are durable
	Commits  atomic.Int64
}

// DurabilityWindow is for how long at most a use is not yet durable, as long as the disk is well: a kill loses no more.
const DurabilityWindow = time.Second

// NewRecorder makes one; Go starts it. Names are those of the broker's settings.
func NewRecorder(s *Store, c *ledger.Calendar, clocks Clocks, kinds, customers []string) *Recorder {
	r := &Recorder{store: s, calendar: c, clocks: clocks, flushInterval: DurabilityWindow / 4, queryTypes: kinds, customers: customers, buffer: ledger.NewBuffer(),
		clock: ledger.Clock{MaxDriftMs: 5000, JumpConfirmMs: 60000}, requests: make(chan func(), 16), stop: make(chan struct{}), stopped: make(chan struct{})}
	r.clock.Resume(s.HighestTime)
	return r
}

func nameAt(list []string, i int) string {
	if i >= 0 && i < len(list) {
		return list[i]
	}
	return ""
}

// now gives the ledger's time; the lock is held.
func (r *Recorder) now() (at int64, steady float64) {
	steady = r.clocks.SteadyMs()
	return r.clock.Now(r.clocks.WallMs(), int64(steady)), steady
}

// period finds the one that a time is in; uses come by the thousand to one period.
func (r *Recorder) period(at int64) int64 {
	if at < r.periodStart || at >= r.periodEnd {
		r.periodStart = r.calendar.PeriodStart(at)
		r.periodEnd = r.calendar.PeriodEnd(r.periodStart)
	}
	return r.periodStart
}

// Used takes a use (engine.Meter). It belongs to the period in which its answer was given, which may have been a while
// before what was out of it came to its end.
func (r *Recorder) Used(u *engine.Used) {
	how := ledger.Errored
	switch {
	case u.Left:
		how = ledger.ClientCancelled
	case u.How == engine.Whole:
		how = ledger.Answered
	case u.How == engine.Partial:
		how = ledger.Partial
	case u.How == engine.Shed:
		how = ledger.Shed
	}
	front := ledger.HTTP
	if u.Front == 1 {
		front = ledger.GRPC
	}
	k := ledger.Key{Customer: nameAt(r.customers, u.Customer), QueryType: nameAt(r.queryTypes, u.Kind), Front: front, Outcome: how}
	c := ledger.Counts{ledger.Searches: 1, ledger.ShardRequests: int64(u.Parts), ledger.FirstAttempts: int64(u.First), ledger.Retries: int64(u.Repeat),
		ledger.Hedges: int64(u.Copy), ledger.Cancelled: int64(u.CalledOff), ledger.WorkMicros: ledger.Micros(u.Work), ledger.BytesIn: u.In,
		ledger.BytesOut: u.Out, ledger.ServerMicros: ledger.Micros(u.Server)}
	r.lock.Lock()
	defer r.lock.Unlock()
	at, steady := r.now()
	r.buffer.Add(r.period(at-int64(max(steady-u.At, 0))), k, c)
}

// Pending tells how many keys wait for the disk, and how many uses were ever taken.
func (r *Recorder) Pending() (keys int, uses int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.buffer.Keys(), r.buffer.Uses()
}

// Go records until Stop.
func (r *Recorder) Start() {
	go func() {
		defer close(r.stopped)
		t := time.NewTicker(r.flushInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				r.flush()
			case do := <-r.requests:
				r.flush() // what was used before counts before
				do()
			case <-r.stop:
				r.flush()
				return
			}
		}
	}()
}

// flush makes what waits durable, and closes what is due.
func (r *Recorder) flush() error {
	r.lock.Lock()
	list := r.buffer.TakeAll()
	at, _ := r.now()
	r.lock.Unlock()
	open := r.calendar.PeriodStart(at)
	r.store.Ledger.MarkClosing(r.calendar, at)
	if err := r.commit(r.store.Ledger.UseEntries(list, open, at), at); err != nil {
		r.lock.Lock()
		r.buffer.PutBack(list)
		r.lock.Unlock()
		return err
	}
	if due := r.store.Ledger.CloseEntries(r.calendar, at); len(due) > 0 {
		return r.commit(due, at)
	}
	return nil
}

func (r *Recorder) commit(entries []*ledger.Entry, at int64) error {
	if len(entries) == 0 {
		return nil
	}
	if err := r.store.Commit(entries, at); err != nil {
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

// ErrStopped tells that the recorder has ended, or that its disk stands still.
var ErrStopped = errors.New("the ledger is not being written")

// Do runs something beside the recording, never with it, and waits for its end.
func (r *Recorder) Exclusive(within time.Duration, do func(s *Store) error) error {
	done := make(chan error, 1)
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case r.requests <- func() { done <- do(r.store) }:
	case <-r.stopped:
		return ErrStopped
	case <-late.C:
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-r.stopped:
		return ErrStopped
	case <-late.C:
		return ErrStopped
	}
}

// Correct posts a correction; known: it was there already.
func (r *Recorder) Correct(within time.Duration, a ledger.CorrectionRequest) (e *ledger.Entry, known bool, err error) {
	err = r.Exclusive(within, func(s *Store) (err error) {
		r.lock.Lock()
		at, _ := r.now()
		r.lock.Unlock()
		if e, known, err = s.Ledger.CorrectionEntry(a, r.calendar.PeriodStart(at), at); err != nil || known {
			return err
		}
		return r.commit([]*ledger.Entry{e}, at)
	})
	return e, known, err
}

// Stop makes what waits durable and ends, or gives up after a while: the disk may stand still.
func (r *Recorder) Stop(within time.Duration) bool {
	close(r.stop)
	select {
	case <-r.stopped:
		return true
	case <-time.After(within):
		return false
	}
}
