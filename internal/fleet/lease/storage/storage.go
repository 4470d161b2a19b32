// Package storage makes a voter's part in the raft group durable, on the embedded store that the
// ledger uses: the identity of its disk, its hard state, the log and a snapshot. It decides
// nothing; package consensus says what has to be durable before what.
//
// Stored keys and record kinds are a format: they may gain members, and never change.
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
)

// Keys of the store. Log entries are kept by logPrefix and their index, big-endian.
const (
	identityKey  = "identity"
	hardStateKey = "hard"
	snapshotKey  = "snapshot"
	logPrefix    = "log/"
	logPrefixEnd = "log0" // the first key after all with logPrefix
)

// Kinds of sealed records.
const (
	identityKind  = 'i'
	hardStateKind = 'h'
	snapshotKind  = 's'
	entryKind     = 'l'
)

// Identity says which voter a disk makes its process.
type Identity struct {
	VoterID  uint64            `json:"id"`               // drawn once, when the disk was made
	GroupID  uint64            `json:"group,omitempty"`  // 0: none yet
	Founders map[uint64]string `json:"voters,omitempty"` // by voter id, where this disk was at the founding
}

// Store is an open disk of a voter. One goroutine owns it, but for Fault and SyncCount.
type Store struct {
	Identity
	Durable    consensus.DurableState // as it was read at the start
	db         *disk.DB
	firstIndex uint64 // entries before it have been removed
	lastIndex  uint64 // no entry after it is stored
}

// Open opens a voter's disk, or makes one with an id that drawID gives. A second process on it is
// refused. So is a disk that doesn't prove sound: a voter that forgot its vote might vote twice,
// and it is for an operator to take such a disk away.
func Open(fs vfs.FS, dir string, drawID func() uint64) (*Store, error) {
	db, err := disk.Open(fs, dir, memTableBytes)
	if err != nil {
		return nil, fmt.Errorf("open the voter's disk %s: %w", dir, err)
	}
	s := &Store{db: db}
	if err := s.load(drawID); err != nil {
		s.Close()
		return nil, fmt.Errorf("read the voter's disk %s: %w", dir, err)
	}
	return s, nil
}

// load reads the disk, or gives a new one its identity.
func (s *Store) load(drawID func() uint64) error {
	identity, err := s.get(identityKey, identityKind)
	if err != nil {
		return err
	}
	if identity == nil {
		s.VoterID = drawID()
		s.Durable = consensus.DurableState{ID: s.VoterID}
		return s.saveIdentity()
	}
	if err := json.Unmarshal(identity, &s.Identity); err != nil {
		return err
	}
	s.Durable.ID = s.VoterID
	if err := s.getMessage(hardStateKey, hardStateKind, &s.Durable.HardState); err != nil {
		return err
	}
	if err := s.getMessage(snapshotKey, snapshotKind, &s.Durable.Snapshot); err != nil {
		return err
	}
	return s.loadLog()
}

// loadLog reads the entries after the snapshot, which have to follow each other.
func (s *Store) loadLog() error {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: []byte(logPrefix), UpperBound: []byte(logPrefixEnd)})
	if err != nil {
		return err
	}
	defer it.Close()
	snapshotIndex := s.Durable.Snapshot.Metadata.Index
	s.lastIndex = snapshotIndex
	nextIndex := snapshotIndex + 1
	for it.First(); it.Valid(); it.Next() {
		payload, _, err := disk.Unseal(formatVersion, entryKind, it.Value())
		if err != nil {
			return fmt.Errorf("entry %x of the log: %w", it.Key()[len(logPrefix):], err)
		}
		var entry raftpb.Entry
		if err := entry.Unmarshal(payload); err != nil {
			return err
		}
		if entry.Index <= snapshotIndex {
			continue
		}
		s.lastIndex = entry.Index
		if entry.Index != nextIndex {
			return fmt.Errorf("the log has entry %d where %d should be", entry.Index, nextIndex)
		}
		nextIndex++
		s.Durable.Entries = append(s.Durable.Entries, entry)
	}
	return it.Error()
}

// get returns a copy of a record's payload; nil: there is none.
func (s *Store) get(key string, kind byte) ([]byte, error) {
	sealed, closer, err := s.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer closer.Close()
	payload, _, err := disk.Unseal(formatVersion, kind, sealed)
	return append([]byte(nil), payload...), err
}

type unmarshaler interface{ Unmarshal([]byte) error }

// getMessage reads a record into a message, which stays as it is if there is no record.
func (s *Store) getMessage(key string, kind byte, message unmarshaler) error {
	payload, err := s.get(key, kind)
	if err != nil || payload == nil {
		return err
	}
	return message.Unmarshal(payload)
}

func (s *Store) saveIdentity() error {
	identity, err := json.Marshal(s.Identity)
	if err != nil {
		return err
	}
	return s.db.Set([]byte(identityKey), disk.Seal(formatVersion, identityKind, identity), pebble.Sync)
}

// JoinGroup records that the disk belongs to a group. A founder begins with initial; without
// founders the disk stays empty, and its voter learns.
func (s *Store) JoinGroup(groupID uint64, founders map[uint64]string, initial consensus.DurableState) error {
	s.GroupID, s.Founders = groupID, founders
	identity, err := json.Marshal(s.Identity)
	if err != nil {
		return err
	}
	b := s.db.NewBatch()
	defer b.Close()
	if err := b.Set([]byte(identityKey), disk.Seal(formatVersion, identityKind, identity), nil); err != nil {
		return err
	}
	if founders != nil {
		if err := put(b, hardStateKey, hardStateKind, &initial.HardState); err != nil {
			return err
		}
		if err := put(b, snapshotKey, snapshotKind, &initial.Snapshot); err != nil {
			return err
		}
		s.Durable = initial
	}
	return b.Commit(pebble.Sync)
}

type marshaler interface{ Marshal() ([]byte, error) }

// put adds a message's record to a batch.
func put(b *pebble.Batch, key string, kind byte, message marshaler) error {
	payload, err := message.Marshal()
	if err != nil {
		return err
	}
	return b.Set([]byte(key), disk.Seal(formatVersion, kind, payload), nil)
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte(logPrefix), index) }

// Save makes a Ready durable in one write, synced where it says so.
func (s *Store) Save(ready *consensus.Ready) error {
	if ready.Snapshot == nil && len(ready.Entries) == 0 && raft.IsEmptyHardState(ready.HardState) {
		return nil
	}
	b := s.db.NewBatch()
	defer b.Close()
	if ready.Snapshot != nil {
		if err := s.replaceBySnapshot(b, ready.Snapshot); err != nil {
			return err
		}
	}
	if err := s.appendEntries(b, ready.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		if err := put(b, hardStateKey, hardStateKind, &ready.HardState); err != nil {
			return err
		}
	}
	if ready.Sync {
		return b.Commit(pebble.Sync)
	}
	return b.Commit(pebble.NoSync)
}

// replaceBySnapshot puts a leader's snapshot in the place of the whole log.
func (s *Store) replaceBySnapshot(b *pebble.Batch, snapshot *raftpb.Snapshot) error {
	if err := b.DeleteRange([]byte(logPrefix), []byte(logPrefixEnd), nil); err != nil {
		return err
	}
	s.firstIndex, s.lastIndex = snapshot.Metadata.Index+1, snapshot.Metadata.Index
	return put(b, snapshotKey, snapshotKind, snapshot)
}

// appendEntries stores entries, and removes what a former leader left after them: one by one, and
// only where there is any. When each write removed the range to the end of the log, each range
// lay over all before it. Once the store's table was full their pieces, as many as the square of
// the writes, held up every voter at the same moment for seconds.
func (s *Store) appendEntries(b *pebble.Batch, entries []raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	end := entries[len(entries)-1].Index
	for index := end + 1; index <= s.lastIndex; index++ {
		if err := b.Delete(entryKey(index), nil); err != nil {
			return err
		}
	}
	s.lastIndex = end
	for i := range entries {
		if err := put(b, string(entryKey(entries[i].Index)), entryKind, &entries[i]); err != nil {
			return err
		}
	}
	return nil
}

// SaveSnapshot makes this voter's own snapshot durable, and removes the entries it contains.
func (s *Store) SaveSnapshot(snapshot *raftpb.Snapshot) error {
	b := s.db.NewBatch()
	defer b.Close()
	if err := put(b, snapshotKey, snapshotKind, snapshot); err != nil {
		return err
	}
	// From where the range before it ended: no range lies over another.
	nextIndex := snapshot.Metadata.Index + 1
	if err := b.DeleteRange(entryKey(s.firstIndex), entryKey(nextIndex), nil); err != nil {
		return err
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	s.firstIndex = nextIndex
	return nil
}

// Fault says what is wrong with the disk now; "" if nothing is. Any goroutine may call it.
func (s *Store) Fault() string {
	if fault := s.db.Disk.Fault.Load(); fault != nil {
		return *fault
	}
	return ""
}

// SyncCount is the number of syncs so far. Any goroutine may call it.
func (s *Store) SyncCount() int64 { return s.db.Disk.Syncs.Load() }

// Close closes the store. What was saved without a sync may be lost with the machine, not with
// the process.
func (s *Store) Close() error { return s.db.Close() }
