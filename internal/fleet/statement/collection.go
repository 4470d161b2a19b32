package statement

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kestrelspread/internal/ledger"
)

// Row is one exported ledger entry.
type Row struct {
	Instance   string
	Epoch      uint64 // epoch of the instance's ledger
	Sequence   uint64 // increases by one with each row of an epoch, from 1
	Kind       string // kindUse, kindCorrection or kindClose
	Period     int64  // start of the period, Unix ms
	RecordedAt int64  // Unix ms
	Customer   string
	QueryType  string
	Front      string
	Outcome    string
	Counts     ledger.Counts
}

// Kinds of rows, as they appear in the export.
const (
	kindUse        = "use"
	kindCorrection = "correction"
	kindClose      = "close" // closes a period; its counts are the sum of the period's uses
)

// key returns the key under which the row's counts are added up.
func (r *Row) key() Key { return Key{r.Customer, r.QueryType, r.Front, r.Outcome} }

// instancePeriod is the usage that one epoch of an instance has recorded in a period. It is a part of the period's statement.
type instancePeriod struct {
	instance      string
	epoch         uint64
	totals        map[Key]*ledger.Counts
	corrections   map[Key]*ledger.Counts
	total         ledger.Counts // sum of totals
	closed        bool          // whether the closing row has been read
	closedAt      int64         // Unix ms
	closingCounts ledger.Counts // sum of uses according to the instance itself
}

// id returns the identifier of a part within its period: 64 bits of a hash, encoded in only 11 characters, as progress holds many ids.
func (p *instancePeriod) id() string {
	hash := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(streamName(p.instance, p.epoch)))
	return base64.RawURLEncoding.EncodeToString(hash)
}

// shortID returns the identifier of the part in progress of version 1: the lower 32 bits of the same hash, in 8 characters. Two parts
// of a period may have the same one.
func (p *instancePeriod) shortID() string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(streamName(p.instance, p.epoch))))
}

// isIn reports whether ids contains the id or the short id of the part.
func (p *instancePeriod) isIn(ids []string) bool {
	return slices.Contains(ids, p.id()) || slices.Contains(ids, p.shortID())
}

// use returns the part as it appears in the statement, with the discrepancy between its entries and its closing counts, if any.
func (p *instancePeriod) use() InstanceUse {
	use := InstanceUse{Instance: p.instance, Epoch: p.epoch, Counts: nonZeroCounts(p.total)}
	if p.total != p.closingCounts {
		use.Discrepancy = fmt.Sprintf("its entries add up to %v, it closed with %v", p.total, p.closingCounts)
	}
	return use
}

// instanceStream holds what has been read of one epoch of an instance.
type instanceStream struct {
	nextSequence uint64                    // sequence number of the next row
	periods      map[int64]*instancePeriod // by start of the period
}

// streamName returns the key of an instance's epoch in Collection.streams. Part ids are hashes of it.
func streamName(instance string, epoch uint64) string { return fmt.Sprint(instance, "\x00", epoch) }

// period returns the period to which a row belongs, and adds it if it is new.
func (s *instanceStream) period(r *Row) *instancePeriod {
	p := s.periods[r.Period]
	if p == nil {
		p = &instancePeriod{
			instance:    r.Instance,
			epoch:       r.Epoch,
			totals:      map[Key]*ledger.Counts{},
			corrections: map[Key]*ledger.Counts{},
		}
		s.periods[r.Period] = p
	}
	return p
}

// Collection holds all rows that have been read, added up by instance, epoch and period.
type Collection struct {
	streams       map[string]*instanceStream  // by streamName
	closedPeriods map[int64][]*instancePeriod // parts that are closed, by start of the period
}

// NewCollection returns an empty collection.
func NewCollection() *Collection {
	return &Collection{streams: map[string]*instanceStream{}, closedPeriods: map[int64][]*instancePeriod{}}
}

// ErrMissingRows is returned for a row whose sequence number is not the next one of its instance's epoch.
var ErrMissingRows = errors.New("rows are missing")

// NextSequence returns the sequence number of the next row of an instance's epoch, which is 1 if none has been read.
func (c *Collection) NextSequence(instance string, epoch uint64) uint64 {
	if s := c.streams[streamName(instance, epoch)]; s != nil {
		return s.nextSequence
	}
	return 1
}

// Add adds the next row of its instance's epoch. A row that was added before changes nothing. Add returns an error that wraps
// ErrMissingRows if rows before this one are missing, and an error for an unknown kind of row.
func (c *Collection) Add(r Row) error {
	name := streamName(r.Instance, r.Epoch)
	s := c.streams[name]
	if s == nil {
		s = &instanceStream{nextSequence: 1, periods: map[int64]*instancePeriod{}}
		c.streams[name] = s
	}
	switch {
	case r.Sequence < s.nextSequence:
		return nil
	case r.Sequence > s.nextSequence:
		return fmt.Errorf("%w: instance %q, epoch %d: got sequence number %d, want %d",
			ErrMissingRows, r.Instance, r.Epoch, r.Sequence, s.nextSequence)
	}
	s.nextSequence++
	p := s.period(&r)
	switch r.Kind {
	case kindUse:
		addCounts(p.totals, r.key(), r.Counts)
		p.total.Add(r.Counts)
	case kindCorrection:
		addCounts(p.corrections, r.key(), r.Counts)
	case kindClose:
		c.closePeriod(p, &r)
	default:
		return fmt.Errorf("instance %q, epoch %d, sequence number %d: unknown kind of row %q", r.Instance, r.Epoch, r.Sequence, r.Kind)
	}
	return nil
}

// closePeriod records the closing counts of a part. Further closing rows of the same part are ignored.
func (c *Collection) closePeriod(p *instancePeriod, r *Row) {
	if p.closed {
		return
	}
	p.closed, p.closedAt, p.closingCounts = true, r.RecordedAt, r.Counts
	c.closedPeriods[r.Period] = append(c.closedPeriods[r.Period], p)
}

// sortedPeriods returns the starts of all periods that any part has closed, in ascending order.
func (c *Collection) sortedPeriods() []int64 {
	periods := make([]int64, 0, len(c.closedPeriods))
	for period := range c.closedPeriods {
		periods = append(periods, period)
	}
	slices.Sort(periods)
	return periods
}

// Forget deletes the closed parts of periods whose statements are published and whose parts progress no longer lists. No late
// statement can follow for such a period.
func (c *Collection) Forget(progress Progress) {
	for period := range c.closedPeriods {
		if _, known := progress.PublishedParts[period]; period > progress.PublishedUpTo || known {
			continue
		}
		delete(c.closedPeriods, period)
		for _, stream := range c.streams {
			if p := stream.periods[period]; p != nil && p.closed {
				delete(stream.periods, period)
			}
		}
	}
}
