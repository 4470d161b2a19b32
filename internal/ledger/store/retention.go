package store

import (
	"errors"
	"math"

	"github.com/cockroachdb/pebble/v2"

	"kestrelspread/internal/ledger"
)

// Checkpoint bounds recovery: it stores the ledger as it is, and deletes the entries up to a sequence number. All sinks must
// have those, and they must be past their retention.
func (s *Store) Checkpoint(upTo uint64) error {
	snapshot, err := s.Ledger.Snapshot()
	if err != nil {
		return err
	}
	batch := s.db.NewBatch()
	defer batch.Close()
	batch.Set([]byte(checkpointKey), seal(checkpointRecord, snapshot), nil)
	batch.DeleteRange(entryKey(0), entryKey(min(upTo, s.Ledger.NextSequence-1)+1), nil)
	return batch.Commit(pebble.Sync)
}

// Retire deletes entries that were recorded before a time and that every sink named has, at most maxEntries of them, and
// closed periods that ended before it. What a sink has not got stays, however old.
func (s *Store) Retire(c *ledger.Calendar, before int64, maxEntries int, sinks ...string) (retired int, err error) {
	upTo, err := s.exportedUpTo(sinks)
	if err != nil {
		return 0, err
	}
	last := uint64(0)
	err = s.eachUntil(0, func(e *ledger.Entry) bool {
		if e.Sequence > upTo || e.RecordedAt >= before || retired == maxEntries {
			return false
		}
		last = e.Sequence
		retired++
		return true
	})
	if err != nil {
		return 0, err
	}
	if retired == 0 {
		return 0, nil
	}
	// A period goes with the last of its entries: until then its seal can be verified.
	if first, err := s.firstRecordedAt(last + 1); err != nil {
		return 0, err
	} else if first >= before {
		s.Ledger.DropPeriods(c, before)
	}
	return retired, s.Checkpoint(last)
}

// exportedUpTo is the sequence number up to which all sinks have the entries.
func (s *Store) exportedUpTo(sinks []string) (uint64, error) {
	upTo := s.Ledger.NextSequence - 1
	for _, sink := range sinks {
		state, err := s.LoadExport(sink)
		if err != nil {
			return 0, err
		}
		upTo = min(upTo, state.Cursor.Sequence)
	}
	return upTo, nil
}

// firstRecordedAt is when the first entry from a sequence number on was recorded, or the end of time.
func (s *Store) firstRecordedAt(from uint64) (at int64, err error) {
	at = math.MaxInt64
	err = s.eachUntil(from, func(e *ledger.Entry) bool {
		at = e.RecordedAt
		return false
	})
	return at, err
}

var errStopReading = errors.New("enough was read")

// eachUntil reads entries in order until more returns false.
func (s *Store) eachUntil(from uint64, more func(e *ledger.Entry) bool) error {
	err := s.EachEntry(from, func(e *ledger.Entry) error {
		if !more(e) {
			return errStopReading
		}
		return nil
	})
	if errors.Is(err, errStopReading) {
		return nil
	}
	return err
}
