package forward

import (
	"errors"
	"io"
	"sync"
)

// maxPooledBytes is the size up to which buffers are pooled.
const maxPooledBytes = 32 << 10

// buffer is a byte slice that is reused for later requests.
type buffer struct{ bytes []byte }

// buffers pools buffers of all requests.
var buffers = sync.Pool{New: func() any { return new(buffer) }}

// takeBuffer returns an empty buffer from the pool.
func takeBuffer() *buffer {
	b := buffers.Get().(*buffer)
	b.bytes = b.bytes[:0]
	return b
}

// release returns the buffer, which may be nil, to the pool. Its bytes must not be used after that.
func (b *buffer) release() {
	if b != nil && cap(b.bytes) <= maxPooledBytes {
		buffers.Put(b)
	}
}

// grow provides capacity for count more bytes.
func (b *buffer) grow(count int) {
	if cap(b.bytes)-len(b.bytes) >= count {
		return
	}
	larger := make([]byte, len(b.bytes), max(len(b.bytes)+count, 2*cap(b.bytes)))
	copy(larger, b.bytes)
	b.bytes = larger
}

// errTooLarge says that what is read exceeds its bound.
var errTooLarge = errors.New("larger than its bound")

// errNoBuffer says that the memory for buffers is in use.
var errNoBuffer = errors.New("no memory for a buffer")

// bufferAccount counts the memory of buffers that grow.
type bufferAccount interface {
	// reserveBuffer reports false where the bytes exceed the bound; then none are counted.
	reserveBuffer(count int64) bool
	releaseBuffer(count int64)
}

// readCounted reads a body to io.EOF into an empty buffer, at most maxBytes: errTooLarge where there is
// more. length is -1 if it is unknown. All the memory that the buffer has at any time, also while it is
// copied to a larger one, is counted in the account before it is allocated: errNoBuffer where the
// account has no room. What the buffer has in the end stays counted.
func (b *buffer) readCounted(source io.Reader, length, maxBytes int64, account bufferAccount) error {
	return b.readToEnd(source, maxBytes, func() error { return b.growCounted(length, account) })
}

// growCounted makes room for a read, half as much again as there is, but no more than a known length
// needs. The larger buffer is counted while the smaller one still is.
func (b *buffer) growCounted(length int64, account bufferAccount) error {
	if cap(b.bytes) > len(b.bytes) {
		return nil
	}
	former := cap(b.bytes)
	capacity := former + max(former/2, minReadSize)
	if length >= int64(former) {
		capacity = min(capacity, int(length)+1)
	}
	if !account.reserveBuffer(int64(capacity)) {
		return errNoBuffer
	}
	larger := make([]byte, len(b.bytes), capacity)
	copy(larger, b.bytes)
	b.bytes = larger
	account.releaseBuffer(int64(former))
	return nil
}

// minReadSize is the least capacity that a read of unknown length is offered, in bytes.
const minReadSize = 2 << 10

// readAll reads to io.EOF, at most maxBytes: errTooLarge where there is more. length is -1 if it is
// unknown; a known length saves copying.
func (b *buffer) readAll(source io.Reader, length, maxBytes int64) error {
	if length > maxBytes {
		return errTooLarge
	}
	if length > 0 {
		b.grow(int(length) + 1)
	}
	return b.readToEnd(source, maxBytes, func() error {
		b.grow(1)
		if length < 0 {
			b.grow(minReadSize)
		}
		return nil
	})
}

// readToEnd reads to io.EOF, at most maxBytes: errTooLarge where there is more. ensureCapacity is called
// before each read; its error ends the reading.
func (b *buffer) readToEnd(source io.Reader, maxBytes int64, ensureCapacity func() error) error {
	for {
		if err := ensureCapacity(); err != nil {
			return err
		}
		count, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+count]
		if int64(len(b.bytes)) > maxBytes {
			return errTooLarge
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
