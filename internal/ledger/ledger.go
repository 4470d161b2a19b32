// Package ledger keeps who used what: by customer, query type, front and outcome, in periods that are closed for good,
// with corrections as entries of their own. It is pure: uses, times and corrections in, entries out; what is durable is the
// store's. All that is known follows from the entries in their order, so that recovery, checking and serving run the same
// code (Book.Apply).
package ledger

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"sort"
	"strings"
)

// Front tells how a search came.
type Front uint8

// The fronts by which a use came, and their number. Stored entries keep these values.
const (
	HTTP Front = iota
	GRPC
	FrontCount
)

// Outcome is a search's one final answer.
type Outcome uint8

// How a search ended. Stored entries keep these values.
const (
	Answered Outcome = iota
	Partial
	Shed
	Errored
	ClientCancelled // its client had gone before
	OutcomeCount
)

var (
	frontNames   = [FrontCount]string{"http", "grpc"}
	outcomeNames = [OutcomeCount]string{"answered", "partial", "shed", "errored", "left"}
)

// String gives the front's name, as exports have it.
func (f Front) String() string { return frontNames[min(int(f), len(frontNames)-1)] }

// String gives the outcome's name, as exports have it.
func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// Key is what uses are added up by.
type Key struct {
	Customer  string  `json:"Customer"`
	QueryType string  `json:"Kind"`
	Front     Front   `json:"Front"`
	Outcome   Outcome `json:"Outcome"`
}

// Less orders keys by customer, query type, front and outcome.
func (k Key) Less(o Key) bool {
	switch {
	case k.Customer != o.Customer:
		return k.Customer < o.Customer
	case k.QueryType != o.QueryType:
		return k.QueryType < o.QueryType
	case k.Front != o.Front:
		return k.Front < o.Front
	}
	return k.Outcome < o.Outcome
}

// FieldCount of Counts, in their order everywhere: in memory, in the store and in exports.
const (
	Searches = iota
	ShardRequests
	FirstAttempts // sub-requests that were a part's first
	Retries       // that followed one that had ended
	Hedges        // that went beside one still out
	Cancelled     // of all, those that this broker called off
	WorkMicros    // hinted, µs
	BytesIn       // of clients
	BytesOut      // to clients
	ServerMicros  // µs between sending a sub-request and its end, added up
	FieldCount
)

// FieldNames are those of exports and tables.
var FieldNames = [FieldCount]string{"searches", "parts", "first", "repeat", "copy", "called_off", "work_us", "bytes_in", "bytes_out", "server_us"}

// Counts are what was used. Whole numbers, so that sums are exact in any order.
type Counts [FieldCount]int64

// Add adds, and tells whether all sums could be held.
func (c *Counts) Add(o Counts) bool {
	ok := true
	for i, n := range o {
		sum := c[i] + n
		if (n > 0 && sum < c[i]) || (n < 0 && sum > c[i]) {
			ok = false
			continue
		}
		c[i] = sum
	}
	return ok
}

// Negated gives the opposite.
func (c Counts) Negated() Counts {
	for i := range c {
		c[i] = -c[i]
	}
	return c
}

// IsZero tells whether nothing was used.
func (c Counts) IsZero() bool { return c == Counts{} }

// HasNegative tells whether any count is below 0.
func (c Counts) HasNegative() bool {
	for _, n := range c {
		if n < 0 {
			return true
		}
	}
	return false
}

// Buffer is the hand-off between the broker's loop, which must not wait, and the disk, which may be slow: uses of one key and
// period merge, so that what waits is bounded by the keys that are live and nothing is ever dropped.
type Buffer struct {
	waiting map[bufferKey]*Counts
	uses    int64
}

type bufferKey struct {
	period int64
	key    Key
}

// NewBuffer makes an empty hand-off.
func NewBuffer() *Buffer { return &Buffer{waiting: map[bufferKey]*Counts{}} }

// Add adds a use.
func (h *Buffer) Add(period int64, k Key, c Counts) {
	h.uses++
	at := bufferKey{period, k}
	if w := h.waiting[at]; w != nil {
		if mutantMerge {
			*w = c // a defect to be found: what was there is overwritten
			return
		}
		w.Add(c)
		return
	}
	h.waiting[at] = &c
}

// Keys is how many keys wait.
func (h *Buffer) Keys() int { return len(h.waiting) }

// Uses is how many uses were ever given.
func (h *Buffer) Uses() int64 { return h.uses }

// BufferedUse is one key's sum.
type BufferedUse struct {
	Period int64
	Key    Key
	Counts Counts
}

// TakeAll takes all that waits, in order.
func (h *Buffer) TakeAll() []BufferedUse {
	list := make([]BufferedUse, 0, len(h.waiting))
	for at, c := range h.waiting {
		list = append(list, BufferedUse{at.period, at.key, *c})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Period != list[j].Period {
			return list[i].Period < list[j].Period
		}
		return list[i].Key.Less(list[j].Key)
	})
	clear(h.waiting)
	return list
}

// PutBack gives back what was drawn and could not be made durable; it merges with what has come since.
func (h *Buffer) PutBack(list []BufferedUse) {
	for _, d := range list {
		at := bufferKey{d.Period, d.Key}
		if w := h.waiting[at]; w != nil {
			w.Add(d.Counts)
			continue
		}
		c := d.Counts
		h.waiting[at] = &c
	}
}

// EntryKind is a kind of entry.
type EntryKind uint8

// The sorts of entries. Stored entries keep these values.
const (
	Use        EntryKind = iota + 1
	Correction           // who, why and of what stand with it
	Close                // a period is closed: its total and the hash of its entries stand with it
)

// String gives the sort's name, as exports have it.
func (s EntryKind) String() string {
	switch s {
	case Use:
		return "use"
	case Correction:
		return "correction"
	case Close:
		return "close"
	}
	return "unknown"
}

// Entry is one line of the ledger. (Instance, Epoch, Seq) names it for good.
type Entry struct {
	Instance   string    `json:"Instance"`
	Epoch      uint64    `json:"Epoch"`
	Sequence   uint64    `json:"Seq"` // from 1, without gaps
	Kind       EntryKind `json:"Sort"`
	Period     int64     `json:"Period"` // its beginning, Unix ms: what it is posted to
	RecordedAt int64     `json:"At"`     // Unix ms when it was written
	Key        Key       `json:"Key"`
	Counts     Counts    `json:"Counts"`
	// Of a correction.
	CorrectionID    string `json:"ID"` // its own key: given twice it counts once
	Author          string `json:"Author"`
	Reason          string `json:"Reason"`
	Reference       string `json:"Reference"` // the bill, ticket or correction that it is about
	CorrectedPeriod int64  `json:"Refers"`    // the period that it corrects: another than Period where that was closed
	NegativeAllowed bool   `json:"Forced"`    // it may leave a total below 0
	// Of a close.
	SealedEntries uint64 `json:"Entries"` // posted to the period
	SealedHash    uint64 `json:"Hash"`    // of them in their order
}

// hash of what an entry says, chained over a period's entries.
func (e *Entry) chainHash(before uint64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%x|%s|%d|%d|%d|%d|%s|%s|%d|%d|%v|%s|%s|%s|%s|%d|%v", before, e.Instance, e.Epoch, e.Sequence, e.Kind, e.Period, e.Key.Customer,
		e.Key.QueryType, e.Key.Front, e.Key.Outcome, e.Counts, e.CorrectionID, e.Author, e.Reason, e.Reference, e.CorrectedPeriod, e.NegativeAllowed)
	return h.Sum64()
}

// State of a period.
type State uint8

// The states of a period, in the order in which it takes them.
const (
	Open State = iota
	Closing
	Closed
)

// String gives the state's name.
func (s State) String() string { return [...]string{"open", "closing", "closed"}[min(int(s), 2)] }

// Period is what is known of one.
type Period struct {
	Start       int64
	State       State
	Entries     uint64
	Hash        uint64
	Total       Counts
	Corrections Counts // of corrections that refer to it, wherever they are posted
	totals      map[Key]*Counts
	corrections map[Key]*Counts
}

// Keys gives the keys of a period in order.
func (p *Period) Keys() []Key {
	seen := map[Key]bool{}
	for k := range p.totals {
		seen[k] = true
	}
	for k := range p.corrections {
		seen[k] = true
	}
	list := make([]Key, 0, len(seen))
	for k := range seen {
		list = append(list, k)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Less(list[j]) })
	return list
}

// Of gives what a key used in a period, before corrections, and what corrections add.
func (p *Period) Counts(k Key) (used, corrected Counts) {
	if c := p.totals[k]; c != nil {
		used = *c
	}
	if c := p.corrections[k]; c != nil {
		corrected = *c
	}
	return used, corrected
}

// Ledger is all that the entries say.
type Ledger struct {
	Instance     string
	Epoch        uint64
	NextSequence uint64 // the sequence number of the next entry
	periods      map[int64]*Period
	corrections  map[string]*Entry
}

// New makes an empty one; its first entry is number 1.
func New(instance string, epoch uint64) *Ledger {
	return &Ledger{Instance: instance, Epoch: epoch, NextSequence: 1, periods: map[int64]*Period{}, corrections: map[string]*Entry{}}
}

// What Apply and Correct refuse.
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

func (b *Ledger) ensurePeriod(start int64) *Period {
	p := b.periods[start]
	if p == nil {
		p = &Period{Start: start, totals: map[Key]*Counts{}, corrections: map[Key]*Counts{}}
		b.periods[start] = p
	}
	return p
}

// Period gives one, or nil.
func (b *Ledger) Period(start int64) *Period { return b.periods[start] }

// Periods gives all, in order.
func (b *Ledger) Periods() []*Period {
	list := make([]*Period, 0, len(b.periods))
	for _, p := range b.periods {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Start < list[j].Start })
	return list
}

// Correction finds one by its own key.
func (b *Ledger) Correction(id string) *Entry { return b.corrections[id] }

// Apply takes the next entry, whole or not at all.
func (b *Ledger) Apply(e *Entry) error {
	switch {
	case e.Instance != b.Instance || e.Epoch != b.Epoch:
		return ErrForeignEntry
	case e.Sequence != b.NextSequence:
		return fmt.Errorf("%w: %d where %d was due", ErrSequenceGap, e.Sequence, b.NextSequence)
	}
	p := b.ensurePeriod(e.Period)
	if p.State == Closed {
		return fmt.Errorf("%w: entry %d", ErrPeriodClosed, e.Sequence)
	}
	switch e.Kind {
	case Use:
		if !addCounts(p.totals, e.Key, e.Counts, &p.Total) {
			return ErrOverflow
		}
	case Correction:
		if b.corrections[e.CorrectionID] != nil {
			return fmt.Errorf("%w: %s", ErrCorrectionConflict, e.CorrectionID)
		}
		of := b.ensurePeriod(e.CorrectedPeriod)
		if !addCounts(of.corrections, e.Key, e.Counts, &of.Corrections) {
			return ErrOverflow
		}
		kept := *e
		b.corrections[e.CorrectionID] = &kept
	case Close:
		if e.SealedEntries != p.Entries || e.SealedHash != p.Hash || e.Counts != p.Total {
			return fmt.Errorf("%w: %d entries, hash %x, sealed %d, %x", ErrSealMismatch, p.Entries, p.Hash, e.SealedEntries, e.SealedHash)
		}
		p.State = Closed
	default:
		return ErrUnknownKind
	}
	b.NextSequence++
	if e.Kind != Close {
		p.Entries++
		p.Hash = e.chainHash(p.Hash)
	}
	return nil
}

func addCounts(to map[Key]*Counts, k Key, c Counts, total *Counts) bool {
	sum := *total
	if !sum.Add(c) {
		return false
	}
	at := to[k]
	if at == nil {
		at = &Counts{}
	}
	one := *at
	if !one.Add(c) {
		return false
	}
	*at, *total = one, sum
	to[k] = at
	return true
}

// UseEntries makes entries of what was drawn, without applying them. What belongs to a period that was closed meanwhile goes to
// the open one: a closed one is never added to, and no use is lost.
func (b *Ledger) UseEntries(list []BufferedUse, open, at int64) []*Entry {
	entries := make([]*Entry, 0, len(list))
	for _, d := range list {
		period := d.Period
		if p := b.periods[period]; p != nil && p.State == Closed {
			period = open
		}
		entries = append(entries, &Entry{Instance: b.Instance, Epoch: b.Epoch, Sequence: b.NextSequence + uint64(len(entries)), Kind: Use, Period: period,
			RecordedAt: at, Key: d.Key, Counts: d.Counts})
	}
	return entries
}

// CorrectionRequest is a correction as somebody wishes it.
type CorrectionRequest struct {
	CorrectionID, Author, Reason, Reference string
	Period                                  int64
	Key                                     Key
	Counts                                  Counts // added; below 0 takes away
	Reverts                                 string // the key of a correction that this one takes back, in place of Period, Key and Counts
	AllowNegative                           bool
}

// CorrectionEntry makes the entry of a correction, without applying it, or gives the one that has its key already.
func (b *Ledger) CorrectionEntry(a CorrectionRequest, open, at int64) (e *Entry, known bool, err error) {
	if strings.TrimSpace(a.CorrectionID) == "" || strings.TrimSpace(a.Author) == "" || strings.TrimSpace(a.Reason) == "" ||
		strings.TrimSpace(a.Reference) == "" {
		return nil, false, ErrIncompleteCorrection
	}
	if a.Reverts != "" {
		was := b.corrections[a.Reverts]
		if was == nil {
			return nil, false, fmt.Errorf("no correction has the key %q", a.Reverts)
		}
		a.Period, a.Key, a.Counts = was.CorrectedPeriod, was.Key, was.Counts.Negated()
	}
	post := a.Period
	if p := b.periods[a.Period]; p != nil && p.State == Closed {
		post = open
	}
	e = &Entry{Instance: b.Instance, Epoch: b.Epoch, Sequence: b.NextSequence, Kind: Correction, Period: post, RecordedAt: at, Key: a.Key, Counts: a.Counts,
		CorrectionID: a.CorrectionID, Author: a.Author, Reason: a.Reason, Reference: a.Reference, CorrectedPeriod: a.Period, NegativeAllowed: a.AllowNegative}
	if was := b.corrections[a.CorrectionID]; was != nil {
		if was.CorrectedPeriod != e.CorrectedPeriod || was.Key != e.Key || was.Counts != e.Counts || was.Author != e.Author || was.Reason != e.Reason ||
			was.Reference != e.Reference {
			return nil, false, fmt.Errorf("%w: %s", ErrCorrectionConflict, a.CorrectionID)
		}
		return was, true, nil
	}
	p := b.periods[a.Period]
	if p == nil {
		if a.Period != open {
			return nil, false, fmt.Errorf("no period begins at %d", a.Period)
		}
		p = &Period{}
	}
	used, corrected := p.Counts(a.Key)
	used.Add(corrected)
	if !used.Add(a.Counts) {
		return nil, false, ErrOverflow
	}
	if used.HasNegative() && !a.AllowNegative {
		return nil, false, fmt.Errorf("%w: %v", ErrNegativeTotal, used)
	}
	return e, false, nil
}

// CloseEntries gives the closes that are due at a time of the calendar: periods whose end and grace have passed, the oldest first.
func (b *Ledger) CloseEntries(c *Calendar, now int64) (list []*Entry) {
	for _, p := range b.Periods() {
		if p.State != Closed && p.Start != c.PeriodStart(now) && now >= c.PeriodEnd(p.Start)+c.GraceMs {
			list = append(list, &Entry{Instance: b.Instance, Epoch: b.Epoch, Sequence: b.NextSequence + uint64(len(list)), Kind: Close, Period: p.Start, RecordedAt: now,
				Counts: p.Total, SealedEntries: p.Entries, SealedHash: p.Hash})
		}
	}
	return list
}

// MarkClosing names the state that a period has at a time.
func (b *Ledger) MarkClosing(c *Calendar, now int64) {
	for _, p := range b.periods {
		if p.State == Open && now >= c.PeriodEnd(p.Start) {
			p.State = Closing
		}
	}
}

// TotalUse adds up all entries of all periods, without corrections: what the broker's own counters must say.
func (b *Ledger) TotalUse() (all Counts) {
	for _, p := range b.periods {
		all.Add(p.Total)
	}
	return all
}

// KeyCount is how many keys are held in all.
func (b *Ledger) KeyCount() (keys int) {
	for _, p := range b.periods {
		keys += len(p.totals) + len(p.corrections)
	}
	return keys
}

// DropPeriods forgets closed periods that ended before a time: their entries have left and are past their retention. Corrections
// stay known by their keys as long as the period that they were posted to.
func (b *Ledger) DropPeriods(c *Calendar, before int64) (dropped []int64) {
	for _, p := range b.Periods() {
		if p.State == Closed && c.PeriodEnd(p.Start) <= before {
			delete(b.periods, p.Start)
			dropped = append(dropped, p.Start)
		}
	}
	for id, e := range b.corrections {
		for _, start := range dropped {
			if e.Period == start {
				delete(b.corrections, id)
			}
		}
	}
	return dropped
}

// Micros turns float milliseconds into whole µs.
func Micros(ms float64) int64 {
	if !(ms > 0) {
		return 0
	}
	return int64(math.Round(min(ms, 1e12) * 1000))
}
