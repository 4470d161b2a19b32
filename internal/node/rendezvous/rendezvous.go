// Package rendezvous ranks nodes for a key by highest-random-weight hashing: every node that knows the same candidates
// ranks them the same, and the loss of a candidate moves only the keys that it ranked first for.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a candidate for a key; the highest comes first.
func Score(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write(separator)
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}

// separator keeps apart pairs whose concatenations are equal.
var separator = []byte{0}

// Best returns the candidate that Rank would put first; there must be one.
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

// Rank sorts candidates for a key, best first, by the name that each goes under.
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
