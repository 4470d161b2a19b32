package transport

import "kestrelspread/internal/must"

// Pool keeps buffers of one size that are used again; no more than Most are ever out at once, and no more than an
// eighth of them lie ready: what one bad second took must not stay taken.
type Pool struct {
	Size, Most int
	free       [][]byte
	out, top   int
}

// Get gives an empty buffer, or nil where all are out.
func (p *Pool) Get() []byte {
	if p.out >= p.Most {
		return nil
	}
	p.out++
	p.top = max(p.top, p.out)
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free[n-1], p.free = nil, p.free[:n-1]
		return b
	}
	return make([]byte, 0, p.Size)
}

// Put takes a buffer back.
func (p *Pool) Put(b []byte) {
	must.Hold(cap(b) == p.Size && p.out > 0, "a buffer comes back whole and once")
	p.out--
	if len(p.free) < max(p.Most/8, 1) {
		p.free = append(p.free, b[:0])
	}
}

// Out is how many buffers are out now.
func (p *Pool) Out() int { return p.out }

// Top is how many buffers were out at once at the most.
func (p *Pool) Top() int { return p.top }
