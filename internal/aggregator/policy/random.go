package policy

import (
	"encoding/binary"
	"hash/fnv"
)

// random draws from an instance's seed and a counter alone.
type random struct{ seed, draws uint64 }

// next is uniform in [0, 1).
func (r *random) next() float64 {
	r.draws++
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.seed), r.draws))
	return float64(h.Sum64()>>11) / (1 << 53)
}
