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
	formatVersion = 1
	memTableBytes = 1 << 20
	identityKey   = "identity"
	hardStateKey  = "hard"
	snapshotKey   = "snapshot"
	logPrefix     = "log/"
	logPrefixEnd  = "log0"
)

// Identity is what a disk is: its number, drawn once, and the group that it belongs to; 0: none yet.
type Identity struct {
	VoterID  uint64            `json:"id"`
	GroupID  uint64            `json:"group,omitempty"`
	Founders map[uint64]string `json:"voters,omitempty"` // of the founding, where it was there
}

// Store is an open disk.
type Store struct {
	Identity
	Durable    consensus.DurableState
	Created    bool // it was made just now
	db         *disk.DB
	firstIndex uint64 // index from which on entries are kept
	lastIndex  uint64 // of the latest entry that is there; at least all of them lie at or before it
}

// Open opens a voter's disk, or makes one with a number that draw gives. A second process is refused. What can't be proved is
// not used: a voter that forgot a vote might give it twice, so it is for an operator to take such a disk away.
func Open(fs vfs.FS, dir string, draw func() uint64) (*Store, error) {
	db, err := disk.Open(fs, dir, memTableBytes)
	if err != nil {
		return nil, fmt.Errorf("the voter's disk %s: %w", dir, err)
	}
	k := &Store{db: db}
	if err := k.load(draw); err != nil {
		k.Close()
		return nil, fmt.Errorf("the voter's disk %s: %w", dir, err)
	}
	return k, nil
}

func (k *Store) get(key string, kind byte) ([]byte, error) {
	b, closer, err := k.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer closer.Close()
	payload, _, err := disk.Unseal(formatVersion, kind, b)
	return append([]byte(nil), payload...), err
}

func (k *Store) load(draw func() uint64) error {
	b, err := k.get(identityKey, 'i')
	if err != nil {
		return err
	}
	if b == nil {
		k.VoterID, k.Created = draw(), true
		k.Durable = consensus.DurableState{ID: k.VoterID}
		return k.saveIdentity()
	}
	if err := json.Unmarshal(b, &k.Identity); err != nil {
		return err
	}
	k.Durable.ID = k.VoterID
	if b, err = k.get(hardStateKey, 'h'); err != nil {
		return err
	} else if b != nil {
		if err := k.Durable.HardState.Unmarshal(b); err != nil {
			return err
		}
	}
	if b, err = k.get(snapshotKey, 's'); err != nil {
		return err
	} else if b != nil {
		if err := k.Durable.Snapshot.Unmarshal(b); err != nil {
			return err
		}
	}
	it, err := k.db.NewIter(&pebble.IterOptions{LowerBound: []byte(logPrefix), UpperBound: []byte(logPrefixEnd)})
	if err != nil {
		return err
	}
	defer it.Close()
	at := k.Durable.Snapshot.Metadata.Index
	k.lastIndex = at
	for it.First(); it.Valid(); it.Next() {
		payload, _, err := disk.Unseal(formatVersion, 'l', it.Value())
		if err != nil {
			return fmt.Errorf("entry %x of the log: %w", it.Key()[len(logPrefix):], err)
		}
		var e raftpb.Entry
		if err := e.Unmarshal(payload); err != nil {
			return err
		}
		if e.Index <= k.Durable.Snapshot.Metadata.Index {
			continue
		}
		k.lastIndex = e.Index
		if at++; e.Index != at {
			return fmt.Errorf("the log has entry %d where %d should be", e.Index, at)
		}
		k.Durable.Entries = append(k.Durable.Entries, e)
	}
	return it.Error()
}

func (k *Store) saveIdentity() error {
	b, err := json.Marshal(k.Identity)
	if err != nil {
		return err
	}
	return k.db.Set([]byte(identityKey), disk.Seal(formatVersion, 'i', b), pebble.Sync)
}

// JoinGroup has the disk belong to a group from now on. With the founding's voters it begins with them, state and all; without it
// is empty, and learns.
func (k *Store) JoinGroup(group uint64, voters map[uint64]string, begin consensus.DurableState) error {
	k.GroupID, k.Founders = group, voters
	ident, err := json.Marshal(k.Identity)
	if err != nil {
		return err
	}
	b := k.db.NewBatch()
	defer b.Close()
	b.Set([]byte(identityKey), disk.Seal(formatVersion, 'i', ident), nil)
	if voters != nil {
		if err := put(b, hardStateKey, 'h', &begin.HardState); err != nil {
			return err
		}
		if err := put(b, snapshotKey, 's', &begin.Snapshot); err != nil {
			return err
		}
		k.Durable = begin
	}
	return b.Commit(pebble.Sync)
}

type marshaler interface{ Marshal() ([]byte, error) }

func put(b *pebble.Batch, key string, kind byte, m marshaler) error {
	text, err := m.Marshal()
	if err != nil {
		return err
	}
	return b.Set([]byte(key), disk.Seal(formatVersion, kind, text), nil)
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte(logPrefix), index) }

// Save makes effects durable in one write, synced where they say so.
func (k *Store) Save(e *consensus.Ready) error {
	if e.Snapshot == nil && len(e.Entries) == 0 && raft.IsEmptyHardState(e.HardState) {
		return nil
	}
	b := k.db.NewBatch()
	defer b.Close()
	if e.Snapshot != nil {
		b.DeleteRange([]byte(logPrefix), []byte(logPrefixEnd), nil)
		k.firstIndex, k.lastIndex = e.Snapshot.Metadata.Index+1, e.Snapshot.Metadata.Index
		if err := put(b, snapshotKey, 's', e.Snapshot); err != nil {
			return err
		}
	}
	if len(e.Entries) > 0 {
		// What a former leader left there goes, entry by entry and only where there is any: a range to the end of the log in
		// each write lay over all the ranges before it, and when the store's table was full their pieces, as many as the square
		// of the writes, held up every voter at the same moment for seconds.
		end := e.Entries[len(e.Entries)-1].Index
		for i := end + 1; i <= k.lastIndex; i++ {
			b.Delete(entryKey(i), nil)
		}
		k.lastIndex = end
		for i := range e.Entries {
			if err := put(b, string(entryKey(e.Entries[i].Index)), 'l', &e.Entries[i]); err != nil {
				return err
			}
		}
	}
	if !raft.IsEmptyHardState(e.HardState) {
		if err := put(b, hardStateKey, 'h', &e.HardState); err != nil {
			return err
		}
	}
	if e.Sync {
		return b.Commit(pebble.Sync)
	}
	return b.Commit(pebble.NoSync)
}

// SaveSnapshot makes a snapshot durable, and lets go of what it holds.
func (k *Store) SaveSnapshot(s *raftpb.Snapshot) error {
	b := k.db.NewBatch()
	defer b.Close()
	if err := put(b, snapshotKey, 's', s); err != nil {
		return err
	}
	b.DeleteRange(entryKey(k.firstIndex), entryKey(s.Metadata.Index+1), nil) // from where the one before ended: none lies over another
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	k.firstIndex = s.Metadata.Index + 1
	return nil
}

// Fault tells what is wrong with the disk now; "" when all is well.
func (k *Store) Fault() string {
	if t := k.db.Disk.Trouble.Load(); t != nil {
		return *t
	}
	return ""
}

// SyncCount counts them.
func (k *Store) SyncCount() int64 { return k.db.Disk.Syncs.Load() }

// Close ends it.
func (k *Store) Close() error { return k.db.Close() }
