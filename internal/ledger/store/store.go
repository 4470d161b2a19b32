package store

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"kestrelspread/internal/disk"
	"kestrelspread/internal/ledger"
)

// Store is one ledger on a disk. All but LastSequence belongs to one goroutine.
type Store struct {
	Identity
	Ledger       *ledger.Ledger
	Disk         *disk.Disk
	Recovery     Recovery
	HighestTime  int64 // the highest time that was recorded, Unix ms
	db           *disk.DB
	lastSequence atomic.Uint64
}

// Recovery tells what was found at the start.
type Recovery struct {
	Entries            int    // read and verified
	CheckpointSequence uint64 // the sequence number that reading began after
	Duration           time.Duration
	Created            bool
}

// memoryBytes is the size of the embedded store's table in memory, and of its cache.
const memoryBytes = 1 << 20

// Open reads a store, or makes one, and verifies all that it holds. A second process is refused.
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

// readRecord reads one record's payload; nil where there is none.
func (s *Store) readRecord(key string, kind byte) ([]byte, error) {
	record, closer, err := s.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer closer.Close()
	payload, _, err := unseal(kind, record)
	return append([]byte(nil), payload...), err // the record's bytes end with closer
}

// recover builds the ledger from the checkpoint, if there is one, and all entries after it.
func (s *Store) recover() error {
	s.Ledger = ledger.New(s.Instance, s.Epoch)
	checkpoint, err := s.readRecord(checkpointKey, checkpointRecord)
	if err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	if checkpoint != nil {
		if err := s.Ledger.Restore(checkpoint); err != nil {
			return fmt.Errorf("checkpoint: %w", err)
		}
		s.Recovery.CheckpointSequence = s.Ledger.NextSequence - 1
	}
	highest, err := s.readRecord(highestTimeKey, highestTimeRecord)
	if err != nil {
		return err
	}
	if len(highest) == 8 {
		s.HighestTime = int64(binary.BigEndian.Uint64(highest))
	}
	return s.EachEntry(s.Ledger.NextSequence, func(e *ledger.Entry) error {
		s.Recovery.Entries++
		return s.Ledger.Apply(e)
	})
}

// EachEntry reads the entries from a sequence number on, in order, and stops at the first that is not sound.
func (s *Store) EachEntry(from uint64, do func(e *ledger.Entry) error) error {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: entryKey(from), UpperBound: []byte(entryKeyEnd)})
	if err != nil {
		return err
	}
	defer it.Close()
	for it.First(); it.Valid(); it.Next() {
		e, err := Decode(it.Value())
		if err != nil {
			return fmt.Errorf("entry %s: %w", hex.EncodeToString(it.Key()[len(entryKeyPrefix):]), err)
		}
		if sequence := sequenceOf(it.Key()); e.Sequence != sequence {
			return fmt.Errorf("%w: entry %d stands where %d should", ErrTorn, e.Sequence, sequence)
		}
		if err := do(e); err != nil {
			return err
		}
	}
	return it.Error()
}

// Commit makes entries durable together, and only then counts them. It may take as long as the disk does.
func (s *Store) Commit(entries []*ledger.Entry, now int64) error {
	batch := s.db.NewBatch()
	defer batch.Close()
	for _, e := range entries {
		batch.Set(entryKey(e.Sequence), Encode(e), nil)
	}
	if now > s.HighestTime {
		batch.Set([]byte(highestTimeKey), seal(highestTimeRecord, binary.BigEndian.AppendUint64(nil, uint64(now))), nil)
	}
	if err := batch.Commit(pebble.Sync); err != nil {
		return err
	}
	s.HighestTime = max(s.HighestTime, now)
	for _, e := range entries {
		if err := s.Ledger.Apply(e); err != nil {
			return fmt.Errorf("entry %d: %w", e.Sequence, err)
		}
	}
	s.lastSequence.Store(s.Ledger.NextSequence - 1)
	return nil
}

// LastSequence is the sequence number of the latest durable entry. Any goroutine may ask for it.
func (s *Store) LastSequence() uint64 { return s.lastSequence.Load() }

// Verify reads all that is there again and compares it with the ledger in use.
func (s *Store) Verify() error {
	read := ledger.New(s.Instance, s.Epoch)
	from := uint64(1)
	checkpoint, err := s.readRecord(checkpointKey, checkpointRecord)
	if err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	if checkpoint != nil {
		if err := read.Restore(checkpoint); err != nil {
			return err
		}
		from = read.NextSequence
	}
	if err := s.EachEntry(from, read.Apply); err != nil {
		return err
	}
	if read.NextSequence != s.Ledger.NextSequence || read.TotalUse() != s.Ledger.TotalUse() {
		return fmt.Errorf("read again it has %d entries and %v, in use %d and %v",
			read.NextSequence-1, read.TotalUse(), s.Ledger.NextSequence-1, s.Ledger.TotalUse())
	}
	return nil
}

// DiskBytes is the size of the store on its disk.
func (s *Store) DiskBytes() int64 { return int64(s.db.Metrics().DiskSpaceUsage()) }

// Close ends the store. After a failed sync it is left as it is: there is nothing that could be made durable.
func (s *Store) Close() error { return s.db.Close() }
