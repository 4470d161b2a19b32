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
	Wall() int64     // Unix ms; may be set at any time
	Steady() float64 // ms of the broker's loop, which never go back
}

// Recorder stands between the loop, which tells of uses and never waits, and the store, which may.
type Recorder struct {
	store     *Store
	calendar  *ledger.Calendar
	clocks    Clocks
	every     time.Duration
	kinds     []string
	customers []string

	lock       sync.Mutex // held for a map's entry at most
	hand       *ledger.Hand
	clock      ledger.Clock
	start, end int64 // of the period that was found last

	asks    chan func()
	stop    chan struct{}
	ended   chan struct{}
	durable atomic.Int64 // uses in entries that are durable
	Commits atomic.Int64
}

// Window is for how long at most a use is not yet durable, as long as the disk is well: a kill loses no more.
const Window = time.Second

// NewRecorder makes one; Go starts it. Names are those of the broker's settings.
func NewRecorder(s *Store, c *ledger.Calendar, clocks Clocks, kinds, customers []string) *Recorder {
	r := &Recorder{store: s, calendar: c, clocks: clocks, every: Window / 4, kinds: kinds, customers: customers, hand: ledger.NewHand(),
		clock: ledger.Clock{Step: 5000, Settle: 60000}, asks: make(chan func(), 16), stop: make(chan struct{}), ended: make(chan struct{})}
	r.clock.Start(s.Highest)
	return r
}

func name(list []string, i int) string {
	if i >= 0 && i < len(list) {
		return list[i]
	}
	return ""
}

// now gives the ledger's time; the lock is held.
func (r *Recorder) now() (at int64, steady float64) {
	steady = r.clocks.Steady()
	return r.clock.Now(r.clocks.Wall(), int64(steady)), steady
}

// period finds the one that a time is in; uses come by the thousand to one period.
func (r *Recorder) period(at int64) int64 {
	if at < r.start || at >= r.end {
		r.start = r.calendar.Period(at)
		r.end = r.calendar.End(r.start)
	}
	return r.start
}

// Record takes a use (engine.Meter). It belongs to the period in which its answer was given, which may have been a while
// before what was out of it came to its end.
func (r *Recorder) Record(u *engine.Usage) {
	how := ledger.Errored
	switch {
	case u.ClientLeft:
		how = ledger.Left
	case u.Result == engine.Complete:
		how = ledger.Answered
	case u.Result == engine.Partial:
		how = ledger.Partial
	case u.Result == engine.Shed:
		how = ledger.Shed
	}
	front := ledger.HTTP
	if u.Front == 1 {
		front = ledger.GRPC
	}
	k := ledger.Key{Customer: name(r.customers, u.Customer), Kind: name(r.kinds, u.Kind), Front: front, Outcome: how}
	c := ledger.Counts{ledger.Searches: 1, ledger.Parts: int64(u.Shards), ledger.First: int64(u.First), ledger.Repeat: int64(u.Retry),
		ledger.Copy: int64(u.Hedge), ledger.CalledOff: int64(u.Cancelled), ledger.Work: ledger.Micros(u.Work), ledger.BytesIn: u.BytesIn,
		ledger.BytesOut: u.BytesOut, ledger.Server: ledger.Micros(u.Server)}
	r.lock.Lock()
	defer r.lock.Unlock()
	at, steady := r.now()
	r.hand.Give(r.period(at-int64(max(steady-u.AnsweredAt, 0))), k, c)
}

// Waiting tells how many keys wait for the disk, and how many uses were ever taken.
func (r *Recorder) Waiting() (keys int, uses int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.hand.Len(), r.hand.Uses()
}

// Go records until Stop.
func (r *Recorder) Go() {
	go func() {
		defer close(r.ended)
		t := time.NewTicker(r.every)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				r.flush()
			case do := <-r.asks:
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
	list := r.hand.Draw()
	at, _ := r.now()
	r.lock.Unlock()
	open := r.calendar.Period(at)
	r.store.Book.Mark(r.calendar, at)
	if err := r.commit(r.store.Book.Record(list, open, at), at); err != nil {
		r.lock.Lock()
		r.hand.Return(list)
		r.lock.Unlock()
		return err
	}
	if due := r.store.Book.Due(r.calendar, at); len(due) > 0 {
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
		if e.Sort == ledger.Use {
			r.durable.Add(e.Counts[ledger.Searches])
		}
	}
	return nil
}

// Durable counts the searches in entries that are durable.
func (r *Recorder) Durable() int64 { return r.durable.Load() }

// ErrStopped tells that the recorder has ended, or that its disk stands still.
var ErrStopped = errors.New("the ledger is not being written")

// Do runs something beside the recording, never with it, and waits for its end.
func (r *Recorder) Do(within time.Duration, do func(s *Store) error) error {
	done := make(chan error, 1)
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case r.asks <- func() { done <- do(r.store) }:
	case <-r.ended:
		return ErrStopped
	case <-late.C:
		return ErrStopped
	}
	select {
	case err := <-done:
		return err
	case <-r.ended:
		return ErrStopped
	case <-late.C:
		return ErrStopped
	}
}

// Correct posts a correction; known: it was there already.
func (r *Recorder) Correct(within time.Duration, a ledger.Ask) (e *ledger.Entry, known bool, err error) {
	err = r.Do(within, func(s *Store) (err error) {
		r.lock.Lock()
		at, _ := r.now()
		r.lock.Unlock()
		if e, known, err = s.Book.Correct(a, r.calendar.Period(at), at); err != nil || known {
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
	case <-r.ended:
		return true
	case <-time.After(within):
		return false
	}
}
