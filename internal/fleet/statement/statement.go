// Package statement closes the fleet's periods: from what each instance's ledger has exported it makes one statement a period,
// reconciled with each instance's own closing count, and tells who is missing and who came late. It is pure: rows and a time go
// in, what is to be published comes out.
//
// What is published next is fixed before it is published (the intent), as the export's batches are: the next owner may have read
// more by then, and must publish the very same. So whatever ends whoever owns the duty, and at whichever step, each statement
// goes out once and alike:
//
//	step          durable then                              an end before the next step leads to
//	1 intent      which parts the statement is made of      step 2, by whoever is next, of the same parts
//	2 effect      (receiver) the statement, under its key   step 2 again: the receiver has it, and says so
//	3 mark        the period is published; no intent        step 1 of the next
package statement

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"kestrelspread/internal/ledger"
)

// Row is one exported entry.
type Row struct {
	Instance                            string
	Epoch, Sequence                     uint64
	Kind                                string // use, correction, close
	Period, RecordedAt                  int64  // Unix ms
	Customer, QueryType, Front, Outcome string
	Counts                              ledger.Counts
	Refers                              int64
}

// Key is what the fleet's uses are added up by.
type Key struct {
	Customer  string `json:"customer"`
	QueryType string `json:"query_type"`
	Front     string `json:"front"`
	Outcome   string `json:"outcome"`
}

func (k Key) less(o Key) bool {
	a, b := []string{k.Customer, k.QueryType, k.Front, k.Outcome}, []string{o.Customer, o.QueryType, o.Front, o.Outcome}
	return slices.Compare(a, b) < 0
}

// Total is one key's.
type Total struct {
	Key
	Counts map[string]int64 `json:"counts"`
}

// InstanceUse is one instance's part of a statement. An instance whose disk was lost has several, an epoch each.
type InstanceUse struct {
	Instance    string           `json:"instance"`
	Epoch       uint64           `json:"epoch"`
	Counts      map[string]int64 `json:"counts"`          // of its entries
	Discrepancy string           `json:"wrong,omitempty"` // where its own closing count says otherwise
}

// Statement is the fleet's use in one period, or a part of it that came late.
type Statement struct {
	Period           int64         `json:"period_ms"`
	Late             bool          `json:"late,omitempty"`
	Parts            []InstanceUse `json:"parts"`
	MissingInstances []string      `json:"missing,omitempty"` // instances that were expected and had not closed it
	Totals           []Total       `json:"totals"`
	Corrections      []Total       `json:"corrected,omitempty"` // by corrections posted to the period, wherever they refer to
}

// Config are the operator's.
type Config struct {
	ExpectedInstances []string // instances
	WaitMs            int64    // ms after the first instance has closed a period until it is published without those that have not
}

// Progress is how far the work has come. It goes from owner to owner.
type Progress struct {
	PublishedUpTo  int64              `json:"upto"`  // the latest period that is published
	PublishedParts map[int64][]string `json:"parts"` // of the latest periods, what their statements are made of
	Intent         *Intent            `json:"intent,omitempty"`
}

// Intent is what is published next.
type Intent struct {
	Period           int64    `json:"period"`
	Parts            []string `json:"parts"`
	MissingInstances []string `json:"missing,omitempty"`
	Late             bool     `json:"late,omitempty"`
}

// EffectKey names the effect for good.
func (i *Intent) EffectKey() string {
	if i.Late {
		return fmt.Sprintf("late/%d/%s", i.Period, strings.Join(i.Parts, ","))
	}
	return fmt.Sprint("statement/", i.Period)
}

// ParseProgress reads one; nothing is the first owner's.
func ParseProgress(b []byte) (m Progress, err error) {
	if len(b) > 0 {
		err = json.Unmarshal(b, &m)
	}
	if m.PublishedParts == nil {
		m.PublishedParts = map[int64][]string{}
	}
	return m, err
}

const maxProgressBytes = 12 << 10 // bytes, well under what may be handed on

// Marshal writes it; the oldest periods' parts are forgotten where it would be too long.
func (m Progress) Marshal() []byte {
	for {
		b, err := json.Marshal(m)
		if err != nil {
			panic(err)
		}
		if len(b) <= maxProgressBytes || len(m.PublishedParts) <= 1 {
			return b
		}
		oldest := int64(1<<63 - 1)
		for p := range m.PublishedParts {
			oldest = min(oldest, p)
		}
		parts := make(map[int64][]string, len(m.PublishedParts))
		for p, list := range m.PublishedParts {
			if p != oldest {
				parts[p] = list
			}
		}
		m.PublishedParts = parts
	}
}

// IntentPublished gives the mark once the intent is published.
func (m Progress) IntentPublished() Progress {
	i := m.Intent
	parts := map[int64][]string{}
	for p, list := range m.PublishedParts {
		parts[p] = list
	}
	parts[i.Period] = append(slices.Clone(parts[i.Period]), i.Parts...)
	return Progress{PublishedUpTo: max(m.PublishedUpTo, i.Period), PublishedParts: parts}
}

// instancePeriod is what one epoch of an instance says of a period.
type instancePeriod struct {
	instance      string
	epoch         uint64
	totals        map[Key]*ledger.Counts
	corrected     map[Key]*ledger.Counts
	total         ledger.Counts
	closed        bool
	closedAt      int64
	closingCounts ledger.Counts
}

// id is short, as marks hold many.
func (p *instancePeriod) id() string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprint(p.instance, "\x00", p.epoch))))
}

type instanceStream struct {
	nextSequence uint64
	periods      map[int64]*instancePeriod
}

// Collection is all that was read.
type Collection struct {
	streams map[string]*instanceStream  // by instance and epoch
	periods map[int64][]*instancePeriod // those that were closed
}

// NewCollection has read nothing.
func NewCollection() *Collection {
	return &Collection{streams: map[string]*instanceStream{}, periods: map[int64][]*instancePeriod{}}
}

// ErrMissingRows says that rows are missing before one.
var ErrMissingRows = errors.New("rows are missing")

// NextSequence is the sequence number that is due from an instance's epoch.
func (b *Collection) NextSequence(instance string, epoch uint64) uint64 {
	if s := b.streams[fmt.Sprint(instance, "\x00", epoch)]; s != nil {
		return s.nextSequence
	}
	return 1
}

// Add reads the next row of its instance's epoch; one that was read already changes nothing.
func (b *Collection) Add(r Row) error {
	name := fmt.Sprint(r.Instance, "\x00", r.Epoch)
	s := b.streams[name]
	if s == nil {
		s = &instanceStream{nextSequence: 1, periods: map[int64]*instancePeriod{}}
		b.streams[name] = s
	}
	switch {
	case r.Sequence < s.nextSequence:
		return nil
	case r.Sequence > s.nextSequence:
		return fmt.Errorf("%w: %s has %d where %d is due", ErrMissingRows, r.Instance, r.Sequence, s.nextSequence)
	}
	s.nextSequence++
	p := s.periods[r.Period]
	if p == nil {
		p = &instancePeriod{instance: r.Instance, epoch: r.Epoch, totals: map[Key]*ledger.Counts{}, corrected: map[Key]*ledger.Counts{}}
		s.periods[r.Period] = p
	}
	k := Key{r.Customer, r.QueryType, r.Front, r.Outcome}
	switch r.Kind {
	case "use":
		addCounts(p.totals, k, r.Counts)
		p.total.Add(r.Counts)
	case "correction":
		addCounts(p.corrected, k, r.Counts)
	case "close":
		if !p.closed {
			p.closed, p.closedAt, p.closingCounts = true, r.RecordedAt, r.Counts
			b.periods[r.Period] = append(b.periods[r.Period], p)
		}
	default:
		return fmt.Errorf("%s has a row of the sort %q", r.Instance, r.Kind)
	}
	return nil
}

func addCounts(to map[Key]*ledger.Counts, k Key, c ledger.Counts) {
	if to[k] == nil {
		to[k] = &ledger.Counts{}
	}
	to[k].Add(c)
}

// NextIntent gives what is to be published next at a time (Unix ms), or nil. Periods go in order; what came late follows once nothing
// else is due.
func (b *Collection) NextIntent(m Progress, r Config, now int64) *Intent {
	if m.Intent != nil {
		return m.Intent
	}
	for _, start := range b.sortedPeriods() {
		parts := b.periods[start]
		if start <= m.PublishedUpTo {
			continue
		}
		i := &Intent{Period: start}
		first := parts[0].closedAt
		have := map[string]bool{}
		for _, p := range parts {
			first = min(first, p.closedAt)
			have[p.instance] = true
			i.Parts = append(i.Parts, p.id())
		}
		for _, who := range r.ExpectedInstances {
			if !have[who] {
				i.MissingInstances = append(i.MissingInstances, who)
			}
		}
		if len(i.MissingInstances) > 0 && now < first+r.WaitMs {
			return nil // an older one is never published after a newer one
		}
		slices.Sort(i.Parts)
		slices.Sort(i.MissingInstances)
		return i
	}
	for _, start := range b.sortedPeriods() {
		published, known := m.PublishedParts[start]
		if start > m.PublishedUpTo || !known {
			continue // too long ago to tell what its statement was made of
		}
		for _, p := range b.periods[start] {
			if id := p.id(); !slices.Contains(published, id) {
				return &Intent{Period: start, Parts: []string{id}, Late: true}
			}
		}
	}
	return nil
}

func (b *Collection) sortedPeriods() []int64 {
	list := make([]int64, 0, len(b.periods))
	for start := range b.periods {
		list = append(list, start)
	}
	slices.Sort(list)
	return list
}

// Forget lets go of what was read of periods whose statements are out and that no late part can follow any more.
func (b *Collection) Forget(m Progress) {
	for start := range b.periods {
		if _, known := m.PublishedParts[start]; start > m.PublishedUpTo || known {
			continue
		}
		delete(b.periods, start)
		for _, s := range b.streams {
			if p := s.periods[start]; p != nil && p.closed {
				delete(s.periods, start)
			}
		}
	}
}

// UnpublishableParts counts what was closed for periods that are published and of which the mark tells no more.
func (b *Collection) UnpublishableParts(m Progress) (parts int) {
	for start, list := range b.periods {
		if _, known := m.PublishedParts[start]; start <= m.PublishedUpTo && !known {
			parts += len(list)
		}
	}
	return parts
}

// ErrPartNotRead says that a part of an intent has not been read here yet: it has to be waited for, not left out.
var ErrPartNotRead = errors.New("a part that was fixed has not been read here")

// Build makes what an intent says.
func (b *Collection) Build(i *Intent) (*Statement, error) {
	s := &Statement{Period: i.Period, Late: i.Late, MissingInstances: i.MissingInstances, Totals: []Total{}}
	totals, corrected := map[Key]*ledger.Counts{}, map[Key]*ledger.Counts{}
	found := 0
	for _, p := range b.periods[i.Period] {
		if !slices.Contains(i.Parts, p.id()) {
			continue
		}
		found++
		one := InstanceUse{Instance: p.instance, Epoch: p.epoch, Counts: nonZeroCounts(p.total)}
		if p.total != p.closingCounts {
			one.Discrepancy = fmt.Sprintf("its entries add up to %v, it closed with %v", p.total, p.closingCounts)
		}
		s.Parts = append(s.Parts, one)
		for k, c := range p.totals {
			addCounts(totals, k, *c)
		}
		for k, c := range p.corrected {
			addCounts(corrected, k, *c)
		}
	}
	if found < len(i.Parts) {
		return nil, fmt.Errorf("%w: %d of %d", ErrPartNotRead, found, len(i.Parts))
	}
	sort.Slice(s.Parts, func(a, b int) bool {
		return s.Parts[a].Instance < s.Parts[b].Instance || s.Parts[a].Instance == s.Parts[b].Instance && s.Parts[a].Epoch < s.Parts[b].Epoch
	})
	s.Totals, s.Corrections = sortedTotals(totals), sortedTotals(corrected)
	return s, nil
}

func sortedTotals(of map[Key]*ledger.Counts) []Total {
	keys := make([]Key, 0, len(of))
	for k := range of {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	out := make([]Total, 0, len(keys))
	for _, k := range keys {
		out = append(out, Total{k, nonZeroCounts(*of[k])})
	}
	return out
}

func nonZeroCounts(c ledger.Counts) map[string]int64 {
	m := map[string]int64{}
	for i, n := range c {
		if n != 0 {
			m[ledger.FieldNames[i]] = n
		}
	}
	return m
}
