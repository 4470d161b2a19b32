package config

import (
	"crypto/sha256"
	"encoding/binary"
)

// maxTakenChanges bounds how many taken changes are remembered. It is part of what replicas decide
// alike.
const maxTakenChanges = 4096

// changeDigest identifies a change of the configuration by its content, see digestOf.
type changeDigest [16]byte

// takenChange is a change of the configuration that was taken.
type takenChange struct {
	digest  changeDigest
	version uint64 // that it led to
	index   uint64 // of its entry
}

// takenChanges are the newest taken changes: a change that is sent again is recognised by its
// digest and acknowledged without an effect.
type takenChanges struct {
	ring          []takenChange // in order; written around once it is full
	oldestIndex   int           // in ring
	indexByDigest map[changeDigest]int
}

func newTakenChanges() *takenChanges {
	return &takenChanges{indexByDigest: map[changeDigest]int{}}
}

func (t *takenChanges) find(digest changeDigest) (takenChange, bool) {
	index, found := t.indexByDigest[digest]
	if !found {
		return takenChange{}, false
	}
	return t.ring[index], true
}

func (t *takenChanges) add(change takenChange) {
	if len(t.ring) < maxTakenChanges {
		t.indexByDigest[change.digest] = len(t.ring)
		t.ring = append(t.ring, change)
		return
	}
	delete(t.indexByDigest, t.ring[t.oldestIndex].digest)
	t.indexByDigest[change.digest] = t.oldestIndex
	t.ring[t.oldestIndex] = change
	t.oldestIndex = (t.oldestIndex + 1) % len(t.ring)
}

// each visits the changes, the oldest first.
func (t *takenChanges) each(visit func(takenChange)) {
	for i := range t.ring {
		visit(t.ring[(t.oldestIndex+i)%len(t.ring)])
	}
}

// digestOf returns the first half of the SHA-256 of kind, base version and compact body of a
// change. Digests are stored: the calculation never changes.
func digestOf(replace bool, base uint64, body []byte) changeDigest {
	var header [9]byte
	if replace {
		header[0] = 1
	}
	binary.BigEndian.PutUint64(header[1:], base)
	hash := sha256.New()
	hash.Write(header[:])
	hash.Write(body)
	var sum [sha256.Size]byte
	return changeDigest(hash.Sum(sum[:0])[:len(changeDigest{})])
}
