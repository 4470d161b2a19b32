package simwire

import (
	"encoding/binary"
	"errors"
	"math"
)

// errOverrun reports a record that is longer than the rest of its frame.
var errOverrun = errors.New("overruns its frame")

// cursor reads the fields of a frame. A read past the end sets overrun and returns zero, as do all reads
// after it, so that callers check once per record.
type cursor struct {
	frame   []byte
	offset  int
	overrun bool
}

// bytes returns the next n bytes, or nil if there are fewer.
func (c *cursor) bytes(n int) []byte {
	if c.overrun || n < 0 || n > len(c.frame)-c.offset {
		c.overrun = true
		return nil
	}
	c.offset += n
	return c.frame[c.offset-n : c.offset]
}

// u8 reads a byte.
func (c *cursor) u8() uint8 {
	if v := c.bytes(1); v != nil {
		return v[0]
	}
	return 0
}

// u16 reads a little-endian number.
func (c *cursor) u16() uint16 {
	if v := c.bytes(2); v != nil {
		return binary.LittleEndian.Uint16(v)
	}
	return 0
}

// u32 reads a little-endian number.
func (c *cursor) u32() uint32 {
	if v := c.bytes(4); v != nil {
		return binary.LittleEndian.Uint32(v)
	}
	return 0
}

// u64 reads a little-endian number.
func (c *cursor) u64() uint64 {
	if v := c.bytes(8); v != nil {
		return binary.LittleEndian.Uint64(v)
	}
	return 0
}

// f64 reads a float64. It returns 0 for NaN and infinities.
func (c *cursor) f64() float64 { return finite(math.Float64frombits(c.u64())) }

// f32 reads a float32. It returns 0 for NaN and infinities.
func (c *cursor) f32() float64 { return finite(float64(math.Float32frombits(c.u32()))) }

// serverID reads the id of a server.
func (c *cursor) serverID() (id [6]byte) {
	copy(id[:], c.bytes(6))
	return id
}

// finite replaces NaN and infinities by 0, as running sums of the policy would never recover from them.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
