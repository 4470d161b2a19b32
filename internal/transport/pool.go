package transport

import (
	"kestrelspread/internal/invariant"
)

// Pool keeps buffers of one size that are used again; no more than Most are ever out at once, and
// no more than an eighth of them lie ready: what one bad second took must not stay taken.
type Pool struct {
	Size, Max   int
	free        [][]byte
	inUse, peak int
}

// Get gives an empty buffer, or nil where all are out.
func (p *Pool) Get() []byte {
	if p.inUse >= p.Max {
		return nil
	}
	p.inUse++
	p.peak = max(p.peak, p.inUse)
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free[n-1], p.free = nil, p.free[:n-1]
		return b
	}
	return make([]byte, 0, p.Size)
}

// Put takes a buffer back.
func (p *Pool) Put(b []byte) {
	invariant.Check(cap(b) == p.Size && p.inUse > 0, "a buffer comes back whole and once")
	p.inUse--
	if len(p.free) < max(p.Max/8, 1) {
		p.free = append(p.free, b[:0])
	}
}

// InUse is how many buffers are out now.
func (p *Pool) InUse() int { return p.inUse }

// Peak is how many buffers were out at once at the most.
func (p *Pool) Peak() int { return p.peak }
