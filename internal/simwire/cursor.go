package simwire

import (
	"encoding/binary"
	"errors"
	"math"
)

var errShort = errors.New("overruns its frame")

// cursor reads a frame; a read past its end marks it broken instead of failing at once.
type cursor struct {
	frame  []byte
	offset int
	broken bool
}

func (c *cursor) bytes(n int) []byte {
	if c.broken || n < 0 || n > len(c.frame)-c.offset {
		c.broken = true
		return nil
	}
	c.offset += n
	return c.frame[c.offset-n : c.offset]
}

func (c *cursor) u8() uint8 {
	if v := c.bytes(1); v != nil {
		return v[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if v := c.bytes(2); v != nil {
		return binary.LittleEndian.Uint16(v)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if v := c.bytes(4); v != nil {
		return binary.LittleEndian.Uint32(v)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if v := c.bytes(8); v != nil {
		return binary.LittleEndian.Uint64(v)
	}
	return 0
}

func (c *cursor) f64() float64 { return finite(math.Float64frombits(c.u64())) }
func (c *cursor) f32() float64 { return finite(float64(math.Float32frombits(c.u32()))) }

func (c *cursor) node() (id [6]byte) {
	copy(id[:], c.bytes(6))
	return id
}

// finite keeps what is no number away from sums that it would spoil for good.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
