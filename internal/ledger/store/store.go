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
	Instance string `json:"Instance"`
	Epoch    uint64 `json:"Epoch"`
	Made     int64  `json:"Made"` // Unix ms
}

// Store is one ledger on a disk.
type Store struct {
	Identity
	Book     *ledger.Book
	Disk     *disk.Disk
	Recovery Recovery
	db       *disk.DB
	last     atomic.Uint64
	Highest  int64 // the highest time that was recorded, Unix ms
}

// Recovery tells what was found at the start.
type Recovery struct {
	Entries    int    // read and proved
	Checkpoint uint64 // the sequence number that reading began after
	Took       time.Duration
	New        bool
}

const (
	memory = 1 << 20 // of the store's table in memory, and of its cache
)

// Open reads a store, or makes one, and proves all that it holds. A second process is refused.
func Open(fs vfs.FS, dir, instance string, now time.Time) (*Store, error) {
	start := time.Now()
	db, err := disk.Open(fs, dir, memory)
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
	s.last.Store(s.Book.Next - 1)
	s.Recovery.Took = time.Since(start)
	return s, nil
}

// get reads one record; nil where there is none.
func (s *Store) get(key string, kind byte) ([]byte, error) {
	b, closer, err := s.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer closer.Close()
	payload, _, err := open(kind, b)
	return append([]byte(nil), payload...), err
}

func (s *Store) identify(instance string, now time.Time) error {
	b, err := s.get(identityKey, anIdentity)
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
	s.Recovery.New = true
	b, _ = json.Marshal(s.Identity)
	return s.db.Set([]byte(identityKey), seal(anIdentity, b), pebble.Sync)
}

// recover builds the book from the checkpoint, if there is one, and all entries after it.
func (s *Store) recover() error {
	s.Book = ledger.NewBook(s.Instance, s.Epoch)
	if b, err := s.get(checkpointAt, aCheckpoint); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	} else if b != nil {
		if err := s.Book.Restore(b); err != nil {
			return fmt.Errorf("checkpoint: %w", err)
		}
		s.Recovery.Checkpoint = s.Book.Next - 1
	}
	if b, err := s.get(highestKey, theHighest); err != nil {
		return err
	} else if len(b) == 8 {
		s.Highest = int64(binary.BigEndian.Uint64(b))
	}
	return s.Each(s.Book.Next, func(e *ledger.Entry) error {
		s.Recovery.Entries++
		return s.Book.Apply(e)
	})
}

// Each reads the entries from a sequence number on, in order, and stops at the first that is not sound.
func (s *Store) Each(from uint64, do func(e *ledger.Entry) error) error {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: entryKey(from), UpperBound: []byte("e0")})
	if err != nil {
		return err
	}
	defer it.Close()
	for it.First(); it.Valid(); it.Next() {
		e, err := Decode(it.Value())
		if err != nil {
			return fmt.Errorf("entry %s: %w", hex.EncodeToString(it.Key()[len(entryKeys):]), err)
		}
		if seq := binary.BigEndian.Uint64(it.Key()[len(entryKeys):]); e.Seq != seq {
			return fmt.Errorf("%w: entry %d stands where %d should", ErrTorn, e.Seq, seq)
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
		b.Set(entryKey(e.Seq), Encode(e), nil)
	}
	if at > s.Highest {
		b.Set([]byte(highestKey), seal(theHighest, binary.BigEndian.AppendUint64(nil, uint64(at))), nil)
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	s.Highest = max(s.Highest, at)
	for _, e := range entries {
		if err := s.Book.Apply(e); err != nil {
			return fmt.Errorf("entry %d: %w", e.Seq, err)
		}
	}
	s.last.Store(s.Book.Next - 1)
	return nil
}

// Export is a sink's state: its cursor and the batch that was fixed, if one is. Both are in one record, so that one write
// moves the cursor and ends the intent.
type Export struct {
	Cursor export.Cursor  `json:"Cursor"`
	Intent *export.Intent `json:"Intent"`
}

// Export reads a sink's state.
func (s *Store) Export(sink string) (x Export, err error) {
	b, err := s.get(cursorKeys+sink, aCursor)
	if err == nil && b != nil {
		err = json.Unmarshal(b, &x)
	}
	return x, err
}

// SaveExport makes it durable.
func (s *Store) SaveExport(sink string, x Export) error {
	b, _ := json.Marshal(x)
	return s.db.Set([]byte(cursorKeys+sink), seal(aCursor, b), pebble.Sync)
}

// Last is the sequence number of the latest durable entry; it may be asked for beside the recording.
func (s *Store) Last() uint64 { return s.last.Load() }

// Checkpoint bounds recovery: the book as it is, and no entry up to a sequence number that all sinks have and that is past its
// retention.
func (s *Store) Checkpoint(upTo uint64) error {
	snapshot, err := s.Book.Snapshot()
	if err != nil {
		return err
	}
	b := s.db.NewBatch()
	defer b.Close()
	b.Set([]byte(checkpointAt), seal(aCheckpoint, snapshot), nil)
	b.DeleteRange(entryKey(0), entryKey(min(upTo, s.Book.Next-1)+1), nil)
	return b.Commit(pebble.Sync)
}

// Retire lets go of entries that were written before a time and that every sink named has, at most so many of them at a time,
// and of closed periods that ended before it. What has not left stays, however old.
func (s *Store) Retire(c *ledger.Calendar, before int64, most int, sinks ...string) (retired int, err error) {
	upTo := s.Book.Next - 1
	for _, name := range sinks {
		x, err := s.Export(name)
		if err != nil {
			return 0, err
		}
		upTo = min(upTo, x.Cursor.Seq)
	}
	last := uint64(0)
	enough := errors.New("enough")
	err = s.Each(0, func(e *ledger.Entry) error {
		if e.Seq > upTo || e.At >= before || retired == most {
			return enough
		}
		last = e.Seq
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
	if first, err := s.first(last + 1); err != nil {
		return 0, err
	} else if first >= before {
		s.Book.Drop(c, before)
	}
	return retired, s.Checkpoint(last)
}

// first gives when the first entry from a sequence number on was written, or the end of time.
func (s *Store) first(from uint64) (at int64, err error) {
	at = 1<<63 - 1
	found := errors.New("found")
	if err = s.Each(from, func(e *ledger.Entry) error { at = e.At; return found }); errors.Is(err, found) {
		err = nil
	}
	return at, err
}

// Verify reads all that is there again and compares it with the book in use.
func (s *Store) Verify() error {
	b := ledger.NewBook(s.Instance, s.Epoch)
	from := uint64(1)
	if c, err := s.get(checkpointAt, aCheckpoint); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	} else if c != nil {
		if err := b.Restore(c); err != nil {
			return err
		}
		from = b.Next
	}
	if err := s.Each(from, b.Apply); err != nil {
		return err
	}
	if b.Next != s.Book.Next || b.Sum() != s.Book.Sum() {
		return fmt.Errorf("read again it has %d entries and %v, in use %d and %v", b.Next-1, b.Sum(), s.Book.Next-1, s.Book.Sum())
	}
	return nil
}

// Size is what the store takes on its disk, in bytes.
func (s *Store) Size() int64 { return int64(s.db.Metrics().DiskSpaceUsage()) }

// Close ends it. After a failed sync it is left as it is: there is nothing that could be made durable.
func (s *Store) Close() error { return s.db.Close() }
