// Package storage makes a voter's part durable, on the embedded store that the ledger uses: the number of its disk, what it has
// voted, the log and its snapshot. It decides nothing; agree says what is to be durable before what.
package storage

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/disk"
	"kestrelspread/internal/fleet/lease/consensus"
)

const (
	version  = 1
	memory   = 1 << 20
	identity = "identity"
	hardKey  = "hard"
	snapKey  = "snapshot"
	logKeys  = "log/"
	logEnd   = "log0"
)

// Identity is what a disk is: its number, drawn once, and the group that it belongs to; 0: none yet.
type Identity struct {
	ID     uint64            `json:"id"`
	Group  uint64            `json:"group,omitempty"`
	Voters map[uint64]string `json:"voters,omitempty"` // of the founding, where it was there
}

// Keep is an open disk.
type Keep struct {
	Identity
	Disk  consensus.Disk
	Fresh bool // it was made just now
	db    *disk.DB
	first uint64 // index from which on entries are kept
	last  uint64 // of the latest entry that is there; at least all of them lie at or before it
}

// Open opens a voter's disk, or makes one with a number that draw gives. A second process is refused. What can't be proved is
// not used: a voter that forgot a vote might give it twice, so it is for an operator to take such a disk away.
func Open(fs vfs.FS, dir string, draw func() uint64) (*Keep, error) {
	db, err := disk.Open(fs, dir, memory)
	if err != nil {
		return nil, fmt.Errorf("the voter's disk %s: %w", dir, err)
	}
	k := &Keep{db: db}
	if err := k.load(draw); err != nil {
		k.Close()
		return nil, fmt.Errorf("the voter's disk %s: %w", dir, err)
	}
	return k, nil
}

func (k *Keep) get(key string, kind byte) ([]byte, error) {
	b, closer, err := k.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer closer.Close()
	payload, _, err := disk.Unseal(version, kind, b)
	return append([]byte(nil), payload...), err
}

func (k *Keep) load(draw func() uint64) error {
	b, err := k.get(identity, 'i')
	if err != nil {
		return err
	}
	if b == nil {
		k.ID, k.Fresh = draw(), true
		k.Disk = consensus.Disk{ID: k.ID}
		return k.identify()
	}
	if err := json.Unmarshal(b, &k.Identity); err != nil {
		return err
	}
	k.Disk.ID = k.ID
	if b, err = k.get(hardKey, 'h'); err != nil {
		return err
	} else if b != nil {
		if err := k.Disk.Hard.Unmarshal(b); err != nil {
			return err
		}
	}
	if b, err = k.get(snapKey, 's'); err != nil {
		return err
	} else if b != nil {
		if err := k.Disk.Snapshot.Unmarshal(b); err != nil {
			return err
		}
	}
	it, err := k.db.NewIter(&pebble.IterOptions{LowerBound: []byte(logKeys), UpperBound: []byte(logEnd)})
	if err != nil {
		return err
	}
	defer it.Close()
	at := k.Disk.Snapshot.Metadata.Index
	k.last = at
	for it.First(); it.Valid(); it.Next() {
		payload, _, err := disk.Unseal(version, 'l', it.Value())
		if err != nil {
			return fmt.Errorf("entry %x of the log: %w", it.Key()[len(logKeys):], err)
		}
		var e raftpb.Entry
		if err := e.Unmarshal(payload); err != nil {
			return err
		}
		if e.Index <= k.Disk.Snapshot.Metadata.Index {
			continue
		}
		k.last = e.Index
		if at++; e.Index != at {
			return fmt.Errorf("the log has entry %d where %d should be", e.Index, at)
		}
		k.Disk.Entries = append(k.Disk.Entries, e)
	}
	return it.Error()
}

func (k *Keep) identify() error {
	b, err := json.Marshal(k.Identity)
	if err != nil {
		return err
	}
	return k.db.Set([]byte(identity), disk.Seal(version, 'i', b), pebble.Sync)
}

// Join has the disk belong to a group from now on. With the founding's voters it begins with them, state and all; without it
// is empty, and learns.
func (k *Keep) Join(group uint64, voters map[uint64]string, begin consensus.Disk) error {
	k.Group, k.Voters = group, voters
	ident, err := json.Marshal(k.Identity)
	if err != nil {
		return err
	}
	b := k.db.NewBatch()
	defer b.Close()
	b.Set([]byte(identity), disk.Seal(version, 'i', ident), nil)
	if voters != nil {
		if err := put(b, hardKey, 'h', &begin.Hard); err != nil {
			return err
		}
		if err := put(b, snapKey, 's', &begin.Snapshot); err != nil {
			return err
		}
		k.Disk = begin
	}
	return b.Commit(pebble.Sync)
}

type marshaler interface{ Marshal() ([]byte, error) }

func put(b *pebble.Batch, key string, kind byte, m marshaler) error {
	text, err := m.Marshal()
	if err != nil {
		return err
	}
	return b.Set([]byte(key), disk.Seal(version, kind, text), nil)
}

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte(logKeys), index) }

// Save makes effects durable in one write, synced where they say so.
func (k *Keep) Save(e *consensus.Effects) error {
	if e.Snapshot == nil && len(e.Entries) == 0 && raft.IsEmptyHardState(e.Hard) {
		return nil
	}
	b := k.db.NewBatch()
	defer b.Close()
	if e.Snapshot != nil {
		b.DeleteRange([]byte(logKeys), []byte(logEnd), nil)
		k.first, k.last = e.Snapshot.Metadata.Index+1, e.Snapshot.Metadata.Index
		if err := put(b, snapKey, 's', e.Snapshot); err != nil {
			return err
		}
	}
	if len(e.Entries) > 0 {
		// What a former leader left there goes, entry by entry and only where there is any: a range to the end of the log in
		// each write lay over all the ranges before it, and when the store's table was full their pieces, as many as the square
		// of the writes, held up every voter at the same moment for seconds.
		end := e.Entries[len(e.Entries)-1].Index
		for i := end + 1; i <= k.last; i++ {
			b.Delete(logKey(i), nil)
		}
		k.last = end
		for i := range e.Entries {
			if err := put(b, string(logKey(e.Entries[i].Index)), 'l', &e.Entries[i]); err != nil {
				return err
			}
		}
	}
	if !raft.IsEmptyHardState(e.Hard) {
		if err := put(b, hardKey, 'h', &e.Hard); err != nil {
			return err
		}
	}
	if e.Sync {
		return b.Commit(pebble.Sync)
	}
	return b.Commit(pebble.NoSync)
}

// Cut makes a snapshot durable, and lets go of what it holds.
func (k *Keep) Cut(s *raftpb.Snapshot) error {
	b := k.db.NewBatch()
	defer b.Close()
	if err := put(b, snapKey, 's', s); err != nil {
		return err
	}
	b.DeleteRange(logKey(k.first), logKey(s.Metadata.Index+1), nil) // from where the one before ended: none lies over another
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	k.first = s.Metadata.Index + 1
	return nil
}

// Trouble tells what is wrong with the disk now; "" when all is well.
func (k *Keep) Trouble() string {
	if t := k.db.Disk.Trouble.Load(); t != nil {
		return *t
	}
	return ""
}

// Syncs counts them.
func (k *Keep) Syncs() int64 { return k.db.Disk.Syncs.Load() }

// Close ends it.
func (k *Keep) Close() error { return k.db.Close() }
