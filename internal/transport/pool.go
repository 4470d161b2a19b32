package transport

import (
	"kestrelspread/internal/invariant"
)

// Pool keeps buffers of one size for reuse. At most Max are in use at once. At most an eighth of
// that number (at least one) is kept for reuse, so that the memory of a short peak is freed.
type Pool struct {
	Size        int // capacity of each buffer, bytes
	Max         int // buffers
	free        [][]byte
	inUse, peak int // buffers
}

// Get returns an empty buffer, or nil if Max buffers are in use.
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

// Put returns a buffer to the pool. The caller must not use it any more.
func (p *Pool) Put(b []byte) {
	invariant.Check(cap(b) == p.Size && p.inUse > 0, "a buffer is returned to the pool once, with its full capacity")
	p.inUse--
	if len(p.free) < max(p.Max/8, 1) {
		p.free = append(p.free, b[:0])
	}
}

// InUse returns the number of buffers in use.
func (p *Pool) InUse() int { return p.inUse }

// Peak returns the largest number of buffers that were in use at once.
func (p *Pool) Peak() int { return p.peak }
