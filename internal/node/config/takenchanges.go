package config

import (
	"crypto/sha256"
	"encoding/binary"
)

// maxTakenChanges bounds how many changes are remembered as taken.
const maxTakenChanges = 4096

// changeDigest tells changes of the configuration apart.
type changeDigest [16]byte

// takenChange is one change that was taken.
type takenChange struct {
	digest  changeDigest
	version uint64
	index   uint64 // of its entry
}

// takenChanges are the newest changes taken, so that one that comes again is known.
type takenChanges struct {
	ring          []takenChange // a ring once it is full
	oldestIndex   int           // in inOrder
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

// each visits the changes, oldest first.
func (t *takenChanges) each(visit func(takenChange)) {
	for i := range t.ring {
		visit(t.ring[(t.oldestIndex+i)%len(t.ring)])
	}
}

// digestOf is the digest of a change whose compact body is given.
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
