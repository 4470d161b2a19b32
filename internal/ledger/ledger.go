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
	Fronts
)

// Outcome is a search's one final answer.
type Outcome uint8

// How a search ended. Stored entries keep these values.
const (
	Answered Outcome = iota
	Partial
	Shed
	Errored
	Left // its client had gone before
	Outcomes
)

var (
	frontNames   = [Fronts]string{"http", "grpc"}
	outcomeNames = [Outcomes]string{"answered", "partial", "shed", "errored", "left"}
)

// String gives the front's name, as exports have it.
func (f Front) String() string { return frontNames[min(int(f), len(frontNames)-1)] }

// String gives the outcome's name, as exports have it.
func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// Key is what uses are added up by.
type Key struct {
	Customer string  `json:"Customer"`
	Kind     string  `json:"Kind"`
	Front    Front   `json:"Front"`
	Outcome  Outcome `json:"Outcome"`
}

// Less orders keys by customer, query type, front and outcome.
func (k Key) Less(o Key) bool {
	switch {
	case k.Customer != o.Customer:
		return k.Customer < o.Customer
	case k.Kind != o.Kind:
		return k.Kind < o.Kind
	case k.Front != o.Front:
		return k.Front < o.Front
	}
	return k.Outcome < o.Outcome
}

// Fields of Counts, in their order everywhere: in memory, in the store and in exports.
const (
	Searches = iota
	Parts
	First     // sub-requests that were a part's first
	Repeat    // that followed one that had ended
	Copy      // that went beside one still out
	CalledOff // of all, those that this broker called off
	Work      // hinted, µs
	BytesIn   // of clients
	BytesOut  // to clients
	Server    // µs between sending a sub-request and its end, added up
	Fields
)

// FieldNames are those of exports and tables.
var FieldNames = [Fields]string{"searches", "parts", "first", "repeat", "copy", "called_off", "work_us", "bytes_in", "bytes_out", "server_us"}

// Counts are what was used. Whole numbers, so that sums are exact in any order.
type Counts [Fields]int64

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

// Neg gives the opposite.
func (c Counts) Neg() Counts {
	for i := range c {
		c[i] = -c[i]
	}
	return c
}

// Zero tells whether nothing was used.
func (c Counts) Zero() bool { return c == Counts{} }

// Negative tells whether any count is below 0.
func (c Counts) Negative() bool {
	for _, n := range c {
		if n < 0 {
			return true
		}
	}
	return false
}

// Hand is the hand-off between the broker's loop, which must not wait, and the disk, which may be slow: uses of one key and
// period merge, so that what waits is bounded by the keys that are live and nothing is ever dropped.
type Hand struct {
	waiting map[handKey]*Counts
	uses    int64
}

type handKey struct {
	period int64
	key    Key
}

// NewHand makes an empty hand-off.
func NewHand() *Hand { return &Hand{waiting: map[handKey]*Counts{}} }

// Give adds a use.
func (h *Hand) Give(period int64, k Key, c Counts) {
	h.uses++
	at := handKey{period, k}
	if w := h.waiting[at]; w != nil {
		if plantMerge {
			*w = c // a defect to be found: what was there is overwritten
			return
		}
		w.Add(c)
		return
	}
	h.waiting[at] = &c
}

// Len is how many keys wait.
func (h *Hand) Len() int { return len(h.waiting) }

// Uses is how many uses were ever given.
func (h *Hand) Uses() int64 { return h.uses }

// Drawn is one key's sum.
type Drawn struct {
	Period int64
	Key    Key
	Counts Counts
}

// Draw takes all that waits, in order.
func (h *Hand) Draw() []Drawn {
	list := make([]Drawn, 0, len(h.waiting))
	for at, c := range h.waiting {
		list = append(list, Drawn{at.period, at.key, *c})
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

// Return gives back what was drawn and could not be made durable; it merges with what has come since.
func (h *Hand) Return(list []Drawn) {
	for _, d := range list {
		at := handKey{d.Period, d.Key}
		if w := h.waiting[at]; w != nil {
			w.Add(d.Counts)
			continue
		}
		c := d.Counts
		h.waiting[at] = &c
	}
}

// Sort is a kind of entry.
type Sort uint8

// The sorts of entries. Stored entries keep these values.
const (
	Use        Sort = iota + 1
	Correction      // who, why and of what stand with it
	Close           // a period is closed: its total and the hash of its entries stand with it
)

// String gives the sort's name, as exports have it.
func (s Sort) String() string {
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
	Instance string `json:"Instance"`
	Epoch    uint64 `json:"Epoch"`
	Seq      uint64 `json:"Seq"` // from 1, without gaps
	Sort     Sort   `json:"Sort"`
	Period   int64  `json:"Period"` // its beginning, Unix ms: what it is posted to
	At       int64  `json:"At"`     // Unix ms when it was written
	Key      Key    `json:"Key"`
	Counts   Counts `json:"Counts"`
	// Of a correction.
	ID        string `json:"ID"` // its own key: given twice it counts once
	Author    string `json:"Author"`
	Reason    string `json:"Reason"`
	Reference string `json:"Reference"` // the bill, ticket or correction that it is about
	Refers    int64  `json:"Refers"`    // the period that it corrects: another than Period where that was closed
	Forced    bool   `json:"Forced"`    // it may leave a total below 0
	// Of a close.
	Entries uint64 `json:"Entries"` // posted to the period
	Hash    uint64 `json:"Hash"`    // of them in their order
}

// hash of what an entry says, chained over a period's entries.
func (e *Entry) chain(before uint64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%x|%s|%d|%d|%d|%d|%s|%s|%d|%d|%v|%s|%s|%s|%s|%d|%v", before, e.Instance, e.Epoch, e.Seq, e.Sort, e.Period, e.Key.Customer,
		e.Key.Kind, e.Key.Front, e.Key.Outcome, e.Counts, e.ID, e.Author, e.Reason, e.Reference, e.Refers, e.Forced)
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
	Start     int64
	State     State
	Entries   uint64
	Hash      uint64
	Total     Counts
	Corrected Counts // of corrections that refer to it, wherever they are posted
	totals    map[Key]*Counts
	corrected map[Key]*Counts
}

// Keys gives the keys of a period in order.
func (p *Period) Keys() []Key {
	seen := map[Key]bool{}
	for k := range p.totals {
		seen[k] = true
	}
	for k := range p.corrected {
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
func (p *Period) Of(k Key) (used, corrected Counts) {
	if c := p.totals[k]; c != nil {
		used = *c
	}
	if c := p.corrected[k]; c != nil {
		corrected = *c
	}
	return used, corrected
}

// Book is all that the entries say.
type Book struct {
	Instance    string
	Epoch       uint64
	Next        uint64 // the sequence number of the next entry
	periods     map[int64]*Period
	corrections map[string]*Entry
}

// NewBook makes an empty one; its first entry is number 1.
func NewBook(instance string, epoch uint64) *Book {
	return &Book{Instance: instance, Epoch: epoch, Next: 1, periods: map[int64]*Period{}, corrections: map[string]*Entry{}}
}

// What Apply and Correct refuse.
var (
	ErrGap      = errors.New("the sequence has a gap")
	ErrClosed   = errors.New("the period is closed")
	ErrSealed   = errors.New("the period's entries are not those that were sealed")
	ErrNegative = errors.New("a total would be below 0")
	ErrOverflow = errors.New("a total does not fit")
	ErrOther    = errors.New("an entry of another instance or epoch")
	ErrUnknown  = errors.New("an unknown sort of entry")
	ErrConflict = errors.New("another correction has that key")
	ErrVague    = errors.New("a correction needs a key, an author, a reason and a reference")
)

func (b *Book) period(start int64) *Period {
	p := b.periods[start]
	if p == nil {
		p = &Period{Start: start, totals: map[Key]*Counts{}, corrected: map[Key]*Counts{}}
		b.periods[start] = p
	}
	return p
}

// Period gives one, or nil.
func (b *Book) Period(start int64) *Period { return b.periods[start] }

// Periods gives all, in order.
func (b *Book) Periods() []*Period {
	list := make([]*Period, 0, len(b.periods))
	for _, p := range b.periods {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Start < list[j].Start })
	return list
}

// Correction finds one by its own key.
func (b *Book) Correction(id string) *Entry { return b.corrections[id] }

// Apply takes the next entry, whole or not at all.
func (b *Book) Apply(e *Entry) error {
	switch {
	case e.Instance != b.Instance || e.Epoch != b.Epoch:
		return ErrOther
	case e.Seq != b.Next:
		return fmt.Errorf("%w: %d where %d was due", ErrGap, e.Seq, b.Next)
	}
	p := b.period(e.Period)
	if p.State == Closed {
		return fmt.Errorf("%w: entry %d", ErrClosed, e.Seq)
	}
	switch e.Sort {
	case Use:
		if !add(p.totals, e.Key, e.Counts, &p.Total) {
			return ErrOverflow
		}
	case Correction:
		if b.corrections[e.ID] != nil {
			return fmt.Errorf("%w: %s", ErrConflict, e.ID)
		}
		of := b.period(e.Refers)
		if !add(of.corrected, e.Key, e.Counts, &of.Corrected) {
			return ErrOverflow
		}
		kept := *e
		b.corrections[e.ID] = &kept
	case Close:
		if e.Entries != p.Entries || e.Hash != p.Hash || e.Counts != p.Total {
			return fmt.Errorf("%w: %d entries, hash %x, sealed %d, %x", ErrSealed, p.Entries, p.Hash, e.Entries, e.Hash)
		}
		p.State = Closed
	default:
		return ErrUnknown
	}
	b.Next++
	if e.Sort != Close {
		p.Entries++
		p.Hash = e.chain(p.Hash)
	}
	return nil
}

func add(to map[Key]*Counts, k Key, c Counts, total *Counts) bool {
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

// Record makes entries of what was drawn, without applying them. What belongs to a period that was closed meanwhile goes to
// the open one: a closed one is never added to, and no use is lost.
func (b *Book) Record(list []Drawn, open, at int64) []*Entry {
	entries := make([]*Entry, 0, len(list))
	for _, d := range list {
		period := d.Period
		if p := b.periods[period]; p != nil && p.State == Closed {
			period = open
		}
		entries = append(entries, &Entry{Instance: b.Instance, Epoch: b.Epoch, Seq: b.Next + uint64(len(entries)), Sort: Use, Period: period,
			At: at, Key: d.Key, Counts: d.Counts})
	}
	return entries
}

// Ask is a correction as somebody wishes it.
type Ask struct {
	ID, Author, Reason, Reference string
	Period                        int64
	Key                           Key
	Counts                        Counts // added; below 0 takes away
	Of                            string // the key of a correction that this one takes back, in place of Period, Key and Counts
	Force                         bool
}

// Correct makes the entry of a correction, without applying it, or gives the one that has its key already.
func (b *Book) Correct(a Ask, open, at int64) (e *Entry, known bool, err error) {
	if strings.TrimSpace(a.ID) == "" || strings.TrimSpace(a.Author) == "" || strings.TrimSpace(a.Reason) == "" ||
		strings.TrimSpace(a.Reference) == "" {
		return nil, false, ErrVague
	}
	if a.Of != "" {
		was := b.corrections[a.Of]
		if was == nil {
			return nil, false, fmt.Errorf("no correction has the key %q", a.Of)
		}
		a.Period, a.Key, a.Counts = was.Refers, was.Key, was.Counts.Neg()
	}
	post := a.Period
	if p := b.periods[a.Period]; p != nil && p.State == Closed {
		post = open
	}
	e = &Entry{Instance: b.Instance, Epoch: b.Epoch, Seq: b.Next, Sort: Correction, Period: post, At: at, Key: a.Key, Counts: a.Counts,
		ID: a.ID, Author: a.Author, Reason: a.Reason, Reference: a.Reference, Refers: a.Period, Forced: a.Force}
	if was := b.corrections[a.ID]; was != nil {
		if was.Refers != e.Refers || was.Key != e.Key || was.Counts != e.Counts || was.Author != e.Author || was.Reason != e.Reason ||
			was.Reference != e.Reference {
			return nil, false, fmt.Errorf("%w: %s", ErrConflict, a.ID)
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
	used, corrected := p.Of(a.Key)
	used.Add(corrected)
	if !used.Add(a.Counts) {
		return nil, false, ErrOverflow
	}
	if used.Negative() && !a.Force {
		return nil, false, fmt.Errorf("%w: %v", ErrNegative, used)
	}
	return e, false, nil
}

// Due gives the closes that are due at a time of the calendar: periods whose end and grace have passed, the oldest first.
func (b *Book) Due(c *Calendar, now int64) (list []*Entry) {
	for _, p := range b.Periods() {
		if p.State != Closed && p.Start != c.Period(now) && now >= c.End(p.Start)+c.Grace {
			list = append(list, &Entry{Instance: b.Instance, Epoch: b.Epoch, Seq: b.Next + uint64(len(list)), Sort: Close, Period: p.Start, At: now,
				Counts: p.Total, Entries: p.Entries, Hash: p.Hash})
		}
	}
	return list
}

// Mark names the state that a period has at a time.
func (b *Book) Mark(c *Calendar, now int64) {
	for _, p := range b.periods {
		if p.State == Open && now >= c.End(p.Start) {
			p.State = Closing
		}
	}
}

// Sum adds up all entries of all periods, without corrections: what the broker's own counters must say.
func (b *Book) Sum() (all Counts) {
	for _, p := range b.periods {
		all.Add(p.Total)
	}
	return all
}

// Rest is how many keys are held in all.
func (b *Book) Rest() (keys int) {
	for _, p := range b.periods {
		keys += len(p.totals) + len(p.corrected)
	}
	return keys
}

// Drop forgets closed periods that ended before a time: their entries have left and are past their retention. Corrections
// stay known by their keys as long as the period that they were posted to.
func (b *Book) Drop(c *Calendar, before int64) (dropped []int64) {
	for _, p := range b.Periods() {
		if p.State == Closed && c.End(p.Start) <= before {
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
