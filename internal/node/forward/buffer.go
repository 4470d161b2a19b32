package forward

import (
	"errors"
	"io"
	"sync"
)

// maxPooledBytes is the size up to which buffers are kept for later requests.
const maxPooledBytes = 128 << 10

// buffer is a byte slice that is used again for later requests.
type buffer struct{ bytes []byte }

var buffers = sync.Pool{New: func() any { return new(buffer) }}

func takeBuffer() *buffer {
	b := buffers.Get().(*buffer)
	b.bytes = b.bytes[:0]
	return b
}

func (b *buffer) release() {
	if b != nil && cap(b.bytes) <= maxPooledBytes {
		buffers.Put(b)
	}
}

// grow makes room for that many more bytes.
func (b *buffer) grow(count int) {
	if cap(b.bytes)-len(b.bytes) >= count {
		return
	}
	larger := make([]byte, len(b.bytes), max(len(b.bytes)+count, 2*cap(b.bytes)))
	copy(larger, b.bytes)
	b.bytes = larger
}

// errTooLarge says that what is read does not fit into the bound given.
var errTooLarge = errors.New("larger than its bound")

// minReadSize is the least room that is offered to a read of unknown length.
const minReadSize = 2 << 10

// readAll reads to io.EOF, at most that many bytes; errTooLarge where there are more. A length that is known saves copying.
func (b *buffer) readAll(source io.Reader, length, maxBytes int64) error {
	if length > maxBytes {
		return errTooLarge
	}
	if length > 0 {
		b.grow(int(length) + 1)
	}
	for {
		b.grow(1)
		if length < 0 {
			b.grow(minReadSize)
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
