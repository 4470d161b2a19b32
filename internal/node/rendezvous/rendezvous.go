// Package rendezvous ranks candidates for a key by rendezvous hashing (highest random weight;
// Thaler and Ravishankar, 1998).
//
// It chooses by name alone: it knows nothing of load, health or capacity.
//
// Invariants: all nodes that know the same candidates rank them alike, as the scores depend on the
// key and the names only; the loss of a candidate moves only the keys that it was first for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a candidate for a key: the xxHash64 of both. The highest ranks first.
func Score(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// separator stands between key and candidate, so that pairs with equal concatenations have
// different scores.
var separator = []byte{0}

// Best returns the candidate that Rank would put first, without sorting. It panics where there are
// no candidates.
func Best[T any](key string, candidates []T, name func(T) string) T {
	best := candidates[0]
	bestScore := Score(key, name(best))
	for _, candidate := range candidates[1:] {
		score := Score(key, name(candidate))
		if score > bestScore || score == bestScore && name(candidate) < name(best) {
			best, bestScore = candidate, score
		}
	}
	return best
}

// Rank sorts the candidates for a key in place, the best first. name returns a candidate's name; of
// equal scores the lower name ranks first.
func Rank[T any](key string, candidates []T, name func(T) string) {
	slices.SortFunc(candidates, func(a, b T) int {
		nameA, nameB := name(a), name(b)
		byScore := cmp.Compare(Score(key, nameB), Score(key, nameA))
		if byScore != 0 {
			return byScore
		}
		return cmp.Compare(nameA, nameB)
	})
}
