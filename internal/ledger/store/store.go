package store

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"kestrelspread/internal/disk"
	"kestrelspread/internal/ledger"
	"kestrelspread/internal/ledger/export"
)

// Identity is who wrote a store's entries. An epoch begins with each store that is made: one whose disk was lost must not
// give out the same names again, so it is drawn from the time and from chance.
type Identity struct {
	Instance  string `json:"Instance"`
	Epoch     uint64 `json:"Epoch"`
	CreatedAt int64  `json:"Made"` // Unix ms
}

// Store is one ledger on a disk.
type Store struct {
	Identity
	Ledger       *ledger.Ledger
	Disk         *disk.Disk
	Recovery     Recovery
	db           *disk.DB
	lastSequence atomic.Uint64
	HighestTime  int64 // the highest time that was recorded, Unix ms
}

// Recovery tells what was found at the start.
type Recovery struct {
	Entries            int    // read and proved
	CheckpointSequence uint64 // the sequence number that reading began after
	Duration           time.Duration
	Created            bool
}

const (
	memoryBytes = 1 << 20 // of the store's table in memory, and of its cache
)

// Open reads a store, or makes one, and proves all that it holds. A second process is refused.
func Open(fs vfs.FS, dir, instance string, now time.Time) (*Store, error) {
	start := time.Now()
	db, err := disk.Open(fs, dir, memoryBytes)
	if err != nil {
		return nil, fmt.Errorf("ledger %s: %w", dir, err)
	}
	s := &Store{Disk: db.Disk, db: db}
	if err := s.identify(instance, now); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.recover(); err != nil {
		s.Close()
		return nil, fmt.Errorf("ledger %s: %w", dir, err)
	}
	s.lastSequence.Store(s.Ledger.NextSequence - 1)
	s.Recovery.Duration = time.Since(start)
	return s, nil
}

// readRecord reads one record; nil where there is none.
func (s *Store) readRecord(key string, kind byte) ([]byte, error) {
	b, closer, err := s.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer closer.Close()
	payload, _, err := unseal(kind, b)
	return append([]byte(nil), payload...), err
}

func (s *Store) identify(instance string, now time.Time) error {
	b, err := s.readRecord(identityKey, identityRecord)
	if err != nil {
		return err
	}
	if b != nil {
		if err := json.Unmarshal(b, &s.Identity); err != nil {
			return err
		}
		if s.Instance != instance && instance != "" {
			return fmt.Errorf("the ledger is %q's, not %q's", s.Instance, instance)
		}
		return nil
	}
	var chance [2]byte
	if _, err := rand.Read(chance[:]); err != nil {
		return err
	}
	// Milliseconds and 16 bits of chance: a store that is made anew has a later epoch, also where a clock was set back to
	// the very millisecond of the one before.
	s.Identity = Identity{instance, uint64(now.UnixMilli())<<16 | uint64(binary.BigEndian.Uint16(chance[:])), now.UnixMilli()}
	s.Recovery.Created = true
	b, _ = json.Marshal(s.Identity)
	return s.db.Set([]byte(identityKey), seal(identityRecord, b), pebble.Sync)
}

// recover builds the book from the checkpoint, if there is one, and all entries after it.
func (s *Store) recover() error {
	s.Ledger = ledger.New(s.Instance, s.Epoch)
	if b, err := s.readRecord(checkpointKey, checkpointRecord); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	} else if b != nil {
		if err := s.Ledger.Restore(b); err != nil {
			return fmt.Errorf("checkpoint: %w", err)
		}
		s.Recovery.CheckpointSequence = s.Ledger.NextSequence - 1
	}
	if b, err := s.readRecord(highestTimeKey, highestTimeRecord); err != nil {
		return err
	} else if len(b) == 8 {
		s.HighestTime = int64(binary.BigEndian.Uint64(b))
	}
	return s.EachEntry(s.Ledger.NextSequence, func(e *ledger.Entry) error {
		s.Recovery.Entries++
		return s.Ledger.Apply(e)
	})
}

// EachEntry reads the entries from a sequence number on, in order, and stops at the first that is not sound.
func (s *Store) EachEntry(from uint64, do func(e *ledger.Entry) error) error {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: entryKey(from), UpperBound: []byte("e0")})
	if err != nil {
		return err
	}
	defer it.Close()
	for it.First(); it.Valid(); it.Next() {
		e, err := Decode(it.Value())
		if err != nil {
			return fmt.Errorf("entry %s: %w", hex.EncodeToString(it.Key()[len(entryKeyPrefix):]), err)
		}
		if seq := binary.BigEndian.Uint64(it.Key()[len(entryKeyPrefix):]); e.Sequence != seq {
			return fmt.Errorf("%w: entry %d stands where %d should", ErrTorn, e.Sequence, seq)
		}
		if err := do(e); err != nil {
			return err
		}
	}
	return it.Error()
}

// Commit makes entries durable together, and only then counts them. It may take as long as the disk does.
func (s *Store) Commit(entries []*ledger.Entry, at int64) error {
	b := s.db.NewBatch()
	defer b.Close()
	for _, e := range entries {
		b.Set(entryKey(e.Sequence), Encode(e), nil)
	}
	if at > s.HighestTime {
		b.Set([]byte(highestTimeKey), seal(highestTimeRecord, binary.BigEndian.AppendUint64(nil, uint64(at))), nil)
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	s.HighestTime = max(s.HighestTime, at)
	for _, e := range entries {
		if err := s.Ledger.Apply(e); err != nil {
			return fmt.Errorf("entry %d: %w", e.Sequence, err)
		}
	}
	s.lastSequence.Store(s.Ledger.NextSequence - 1)
	return nil
}

// ExportState is a sink's state: its cursor and the batch that was fixed, if one is. Both are in one record, so that one write
// moves the cursor and ends the intent.
type ExportState struct {
	Cursor export.Cursor  `json:"Cursor"`
	Intent *export.Intent `json:"Intent"`
}

// LoadExport reads a sink's state.
func (s *Store) LoadExport(sink string) (x ExportState, err error) {
	b, err := s.readRecord(exportKeyPrefix+sink, exportRecord)
	if err == nil && b != nil {
		err = json.Unmarshal(b, &x)
	}
	return x, err
}

// SaveExport makes it durable.
func (s *Store) SaveExport(sink string, x ExportState) error {
	b, _ := json.Marshal(x)
	return s.db.Set([]byte(exportKeyPrefix+sink), seal(exportRecord, b), pebble.Sync)
}

// LastSequence is the sequence number of the latest durable entry; it may be asked for beside the recording.
func (s *Store) LastSequence() uint64 { return s.lastSequence.Load() }

// Checkpoint bounds recovery: the book as it is, and no entry up to a sequence number that all sinks have and that is past its
// retention.
func (s *Store) Checkpoint(upTo uint64) error {
	snapshot, err := s.Ledger.Snapshot()
	if err != nil {
		return err
	}
	b := s.db.NewBatch()
	defer b.Close()
	b.Set([]byte(checkpointKey), seal(checkpointRecord, snapshot), nil)
	b.DeleteRange(entryKey(0), entryKey(min(upTo, s.Ledger.NextSequence-1)+1), nil)
	return b.Commit(pebble.Sync)
}

// Retire lets go of entries that were written before a time and that every sink named has, at most so many of them at a time,
// and of closed periods that ended before it. What has not left stays, however old.
func (s *Store) Retire(c *ledger.Calendar, before int64, most int, sinks ...string) (retired int, err error) {
	upTo := s.Ledger.NextSequence - 1
	for _, name := range sinks {
		x, err := s.LoadExport(name)
		if err != nil {
			return 0, err
		}
		upTo = min(upTo, x.Cursor.Sequence)
	}
	last := uint64(0)
	enough := errors.New("enough")
	err = s.EachEntry(0, func(e *ledger.Entry) error {
		if e.Sequence > upTo || e.RecordedAt >= before || retired == most {
			return enough
		}
		last = e.Sequence
		retired++
		return nil
	})
	if err != nil && !errors.Is(err, enough) {
		return 0, err
	}
	if retired == 0 {
		return 0, nil
	}
	// A period goes with the last of its entries: until then its seal can be proved.
	if first, err := s.firstRecordedAt(last + 1); err != nil {
		return 0, err
	} else if first >= before {
		s.Ledger.DropPeriods(c, before)
	}
	return retired, s.Checkpoint(last)
}

// firstRecordedAt gives when the first entry from a sequence number on was written, or the end of time.
func (s *Store) firstRecordedAt(from uint64) (at int64, err error) {
	at = 1<<63 - 1
	found := errors.New("found")
	if err = s.EachEntry(from, func(e *ledger.Entry) error { at = e.RecordedAt; return found }); errors.Is(err, found) {
		err = nil
	}
	return at, err
}

// Verify reads all that is there again and compares it with the book in use.
func (s *Store) Verify() error {
	b := ledger.New(s.Instance, s.Epoch)
	from := uint64(1)
	if c, err := s.readRecord(checkpointKey, checkpointRecord); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	} else if c != nil {
		if err := b.Restore(c); err != nil {
			return err
		}
		from = b.NextSequence
	}
	if err := s.EachEntry(from, b.Apply); err != nil {
		return err
	}
	if b.NextSequence != s.Ledger.NextSequence || b.TotalUse() != s.Ledger.TotalUse() {
		return fmt.Errorf("read again it has %d entries and %v, in use %d and %v", b.NextSequence-1, b.TotalUse(), s.Ledger.NextSequence-1, s.Ledger.TotalUse())
	}
	return nil
}

// DiskBytes is what the store takes on its disk, in bytes.
func (s *Store) DiskBytes() int64 { return int64(s.db.Metrics().DiskSpaceUsage()) }

// Close ends it. After a failed sync it is left as it is: there is nothing that could be made durable.
func (s *Store) Close() error { return s.db.Close() }
