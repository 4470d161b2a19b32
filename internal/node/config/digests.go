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
	inOrder  []takenChange // a ring once it is full
	oldest   int           // in inOrder
	byDigest map[changeDigest]int
}

func newTakenChanges() *takenChanges {
	return &takenChanges{byDigest: map[changeDigest]int{}}
}

func (t *takenChanges) find(digest changeDigest) (takenChange, bool) {
	position, ok := t.byDigest[digest]
	if !ok {
		return takenChange{}, false
	}
	return t.inOrder[position], true
}

func (t *takenChanges) add(change takenChange) {
	if len(t.inOrder) < maxTakenChanges {
		t.byDigest[change.digest] = len(t.inOrder)
		t.inOrder = append(t.inOrder, change)
		return
	}
	delete(t.byDigest, t.inOrder[t.oldest].digest)
	t.byDigest[change.digest] = t.oldest
	t.inOrder[t.oldest] = change
	t.oldest = (t.oldest + 1) % len(t.inOrder)
}

// each visits the changes, oldest first.
func (t *takenChanges) each(visit func(takenChange)) {
	for i := range t.inOrder {
		visit(t.inOrder[(t.oldest+i)%len(t.inOrder)])
	}
}

// digestOf is the digest of a change whose compact body is given.
func digestOf(replace bool, base uint64, body []byte) changeDigest {
	var head [9]byte
	if replace {
		head[0] = 1
	}
	binary.BigEndian.PutUint64(head[1:], base)
	hash := sha256.New()
	hash.Write(head[:])
	hash.Write(body)
	var sum [sha256.Size]byte
	return changeDigest(hash.Sum(sum[:0])[:len(changeDigest{})])
}
