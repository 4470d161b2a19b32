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

// Row is one exported entry.
type Row struct {
	Instance   string
	Epoch      uint64 // of the instance's ledger
	Sequence   uint64 // rises by one within an epoch, from 1
	Kind       string // one of the kinds below
	Period     int64  // its start, Unix ms
	RecordedAt int64  // Unix ms
	Customer   string
	QueryType  string
	Front      string
	Outcome    string
	Counts     ledger.Counts
}

// Kinds of rows, as the export has them.
const (
	kindUse        = "use"
	kindCorrection = "correction"
	kindClose      = "close" // its counts are the sum of the period's uses
)

func (r *Row) key() Key { return Key{r.Customer, r.QueryType, r.Front, r.Outcome} }

// instancePeriod is what one epoch of an instance says of a period: a part of its statement.
type instancePeriod struct {
	instance      string
	epoch         uint64
	totals        map[Key]*ledger.Counts
	corrections   map[Key]*ledger.Counts
	total         ledger.Counts
	closed        bool
	closedAt      int64
	closingCounts ledger.Counts
}

// id identifies a part within its period: 64 bits of a hash, in 11 characters, as progress holds many.
func (p *instancePeriod) id() string {
	hash := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(streamName(p.instance, p.epoch)))
	return base64.RawURLEncoding.EncodeToString(hash)
}

// shortID is the id of the part in progress of version 1: the lower 32 bits of the same hash, in 8 characters. Two parts of
// a period may share one.
func (p *instancePeriod) shortID() string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(streamName(p.instance, p.epoch))))
}

// isIn reports whether the part is among ids, which may be of either version.
func (p *instancePeriod) isIn(ids []string) bool {
	return slices.Contains(ids, p.id()) || slices.Contains(ids, p.shortID())
}

func (p *instancePeriod) use() InstanceUse {
	use := InstanceUse{Instance: p.instance, Epoch: p.epoch, Counts: nonZeroCounts(p.total)}
	if p.total != p.closingCounts {
		use.Discrepancy = fmt.Sprintf("its entries add up to %v, it closed with %v", p.total, p.closingCounts)
	}
	return use
}

// instanceStream is what was read of one epoch of an instance.
type instanceStream struct {
	nextSequence uint64
	periods      map[int64]*instancePeriod
}

func streamName(instance string, epoch uint64) string { return fmt.Sprint(instance, "\x00", epoch) }

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

// Collection is all that was read.
type Collection struct {
	streams       map[string]*instanceStream // by streamName
	closedPeriods map[int64][]*instancePeriod
}

// NewCollection has read nothing.
func NewCollection() *Collection {
	return &Collection{streams: map[string]*instanceStream{}, closedPeriods: map[int64][]*instancePeriod{}}
}

// ErrMissingRows says that rows are missing before one.
var ErrMissingRows = errors.New("rows are missing")

// NextSequence is the sequence number of the row to be read next of an instance's epoch.
func (c *Collection) NextSequence(instance string, epoch uint64) uint64 {
	if s := c.streams[streamName(instance, epoch)]; s != nil {
		return s.nextSequence
	}
	return 1
}

// Add reads the next row of its instance's epoch; one that was read already changes nothing.
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
		return fmt.Errorf("%w: %s has %d where %d is due", ErrMissingRows, r.Instance, r.Sequence, s.nextSequence)
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
		return fmt.Errorf("%s has a row of the sort %q", r.Instance, r.Kind)
	}
	return nil
}

// closePeriod takes an instance's closing counts. The first ones stand.
func (c *Collection) closePeriod(p *instancePeriod, r *Row) {
	if p.closed {
		return
	}
	p.closed, p.closedAt, p.closingCounts = true, r.RecordedAt, r.Counts
	c.closedPeriods[r.Period] = append(c.closedPeriods[r.Period], p)
}

func (c *Collection) sortedPeriods() []int64 {
	periods := make([]int64, 0, len(c.closedPeriods))
	for period := range c.closedPeriods {
		periods = append(periods, period)
	}
	slices.Sort(periods)
	return periods
}

// Forget drops what was read of periods whose statements are published and that no late part can follow any more.
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
