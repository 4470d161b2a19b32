// Package ledger keeps who used what: by customer, query type, front and outcome, in periods that are closed for good, with
// corrections as entries of their own. It is pure: uses, times and corrections in, entries out; making them durable is the
// store's. All that is known follows from the entries in their order, so that recovery, verification and service run the
// same code (Ledger.Apply).
//
// Invariants: sequence numbers have no gap; a closed period takes no further entry; a close holds the total and the chained
// hash of its period's entries; an entry is applied completely or not at all.
package ledger

import (
	"errors"
	"fmt"
	"sort"
)

// Ledger is the state that all entries give.
type Ledger struct {
	Instance     string
	Epoch        uint64
	NextSequence uint64 // of the next entry
	periods      map[int64]*Period
	corrections  map[string]*Entry // by CorrectionID
}

// New returns an empty ledger; its first entry is number 1.
func New(instance string, epoch uint64) *Ledger {
	return &Ledger{
		Instance:     instance,
		Epoch:        epoch,
		NextSequence: 1,
		periods:      map[int64]*Period{},
		corrections:  map[string]*Entry{},
	}
}

// Errors of Apply and CorrectionEntry.
var (
	ErrSequenceGap          = errors.New("the sequence has a gap")
	ErrPeriodClosed         = errors.New("the period is closed")
	ErrSealMismatch         = errors.New("the period's entries are not those that were sealed")
	ErrNegativeTotal        = errors.New("a total would be below 0")
	ErrOverflow             = errors.New("a total does not fit")
	ErrForeignEntry         = errors.New("an entry of another instance or epoch")
	ErrUnknownKind          = errors.New("an unknown sort of entry")
	ErrCorrectionConflict   = errors.New("another correction has that key")
	ErrIncompleteCorrection = errors.New("a correction needs a key, an author, a reason and a reference")
)

func (l *Ledger) ensurePeriod(start int64) *Period {
	p := l.periods[start]
	if p == nil {
		p = newPeriod(start)
		l.periods[start] = p
	}
	return p
}

// Period returns the period that begins at a time, or nil.
func (l *Ledger) Period(start int64) *Period { return l.periods[start] }

func (l *Ledger) isClosed(start int64) bool {
	p := l.periods[start]
	return p != nil && p.State == Closed
}

// Periods returns all periods in order.
func (l *Ledger) Periods() []*Period {
	list := make([]*Period, 0, len(l.periods))
	for _, p := range l.periods {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Start < list[j].Start })
	return list
}

// Correction returns a correction by its ID, or nil.
func (l *Ledger) Correction(id string) *Entry { return l.corrections[id] }

// Apply takes the next entry, completely or not at all.
func (l *Ledger) Apply(e *Entry) error {
	if e.Instance != l.Instance || e.Epoch != l.Epoch {
		return ErrForeignEntry
	}
	if e.Sequence != l.NextSequence {
		return fmt.Errorf("%w: %d where %d was due", ErrSequenceGap, e.Sequence, l.NextSequence)
	}
	p := l.ensurePeriod(e.Period)
	if p.State == Closed {
		return fmt.Errorf("%w: entry %d", ErrPeriodClosed, e.Sequence)
	}
	if err := l.applyToPeriod(p, e); err != nil {
		return err
	}
	l.NextSequence++
	if e.Kind != Close {
		p.Entries++
		p.Hash = e.chainHash(p.Hash)
	}
	return nil
}

func (l *Ledger) applyToPeriod(p *Period, e *Entry) error {
	switch e.Kind {
	case Use:
		if !addCounts(p.totals, e.Key, e.Counts, &p.Total) {
			return ErrOverflow
		}
		return nil
	case Correction:
		return l.applyCorrection(e)
	case Close:
		if e.SealedEntries != p.Entries || e.SealedHash != p.Hash || e.Counts != p.Total {
			return fmt.Errorf("%w: %d entries, hash %x, sealed %d, %x", ErrSealMismatch, p.Entries, p.Hash, e.SealedEntries, e.SealedHash)
		}
		p.State = Closed
		return nil
	}
	return ErrUnknownKind
}

func (l *Ledger) applyCorrection(e *Entry) error {
	if l.corrections[e.CorrectionID] != nil {
		return fmt.Errorf("%w: %s", ErrCorrectionConflict, e.CorrectionID)
	}
	corrected := l.ensurePeriod(e.CorrectedPeriod)
	if !addCounts(corrected.corrections, e.Key, e.Counts, &corrected.Corrections) {
		return ErrOverflow
	}
	kept := *e
	l.corrections[e.CorrectionID] = &kept
	return nil
}

// UseEntries makes entries of what was buffered, without applying them. What belongs to a period that was closed since goes
// to the open one: a closed one is never added to, and no use is lost.
func (l *Ledger) UseEntries(uses []BufferedUse, openPeriod, now int64) []*Entry {
	entries := make([]*Entry, 0, len(uses))
	for _, use := range uses {
		period := use.Period
		if l.isClosed(period) {
			period = openPeriod
		}
		entries = append(entries, &Entry{
			Instance:   l.Instance,
			Epoch:      l.Epoch,
			Sequence:   l.NextSequence + uint64(len(entries)),
			Kind:       Use,
			Period:     period,
			RecordedAt: now,
			Key:        use.Key,
			Counts:     use.Counts,
		})
	}
	return entries
}

// CloseEntries makes the closes that are due at a time, the oldest period first: of periods whose end and grace have passed.
func (l *Ledger) CloseEntries(c *Calendar, now int64) (entries []*Entry) {
	for _, p := range l.Periods() {
		if p.State == Closed || p.Start == c.PeriodStart(now) || now < c.PeriodEnd(p.Start)+c.GraceMs {
			continue
		}
		entries = append(entries, &Entry{
			Instance:      l.Instance,
			Epoch:         l.Epoch,
			Sequence:      l.NextSequence + uint64(len(entries)),
			Kind:          Close,
			Period:        p.Start,
			RecordedAt:    now,
			Counts:        p.Total,
			SealedEntries: p.Entries,
			SealedHash:    p.Hash,
		})
	}
	return entries
}

// MarkClosing marks the open periods that have ended at a time.
func (l *Ledger) MarkClosing(c *Calendar, now int64) {
	for _, p := range l.periods {
		if p.State == Open && now >= c.PeriodEnd(p.Start) {
			p.State = Closing
		}
	}
}

// TotalUse adds up the uses of all periods, without corrections: what the broker's own counters must say.
func (l *Ledger) TotalUse() (total Counts) {
	for _, p := range l.periods {
		total.Add(p.Total)
	}
	return total
}

// KeyCount is the number of sums in memory, over all periods.
func (l *Ledger) KeyCount() (keys int) {
	for _, p := range l.periods {
		keys += len(p.totals) + len(p.corrections)
	}
	return keys
}

// DropPeriods forgets closed periods that ended before a time: their entries were exported and are past their retention. A
// correction stays known by its ID as long as the period that it was posted to.
func (l *Ledger) DropPeriods(c *Calendar, before int64) (dropped []int64) {
	for _, p := range l.Periods() {
		if p.State == Closed && c.PeriodEnd(p.Start) <= before {
			delete(l.periods, p.Start)
			dropped = append(dropped, p.Start)
		}
	}
	for id, correction := range l.corrections {
		for _, start := range dropped {
			if correction.Period == start {
				delete(l.corrections, id)
			}
		}
	}
	return dropped
}
