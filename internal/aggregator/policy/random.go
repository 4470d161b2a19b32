package policy

import (
	"encoding/binary"
	"hash/fnv"
)

// random is a random number generator; its numbers depend only on the seed and on how many were
// drawn before.
type random struct{ seed, draws uint64 }

// next returns a number that is uniformly distributed in [0, 1).
func (r *random) next() float64 {
	r.draws++
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.seed), r.draws))
	return float64(h.Sum64()>>11) / (1 << 53)
}
