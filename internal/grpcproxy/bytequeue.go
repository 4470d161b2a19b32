package grpcproxy

// minChunkBytes: a body that comes byte by byte must not cost a slice for each.
const minChunkBytes = 1 << 10

// byteQueue holds the bytes of a body from an offset on. Bytes that peek has returned don't change:
// chunks are only appended to, and discarded as a whole.
type byteQueue struct {
	chunks [][]byte
	start  int64 // offset of the first chunk
	end    int64 // offset behind the last
}

func (q *byteQueue) append(b []byte) {
	q.end += int64(len(b))
	n := len(q.chunks)
	if n == 0 {
		q.chunks = append(q.chunks, append([]byte(nil), b...))
		return
	}
	last := q.chunks[n-1]
	if cap(last)-len(last) >= len(b) {
		q.chunks[n-1] = append(last, b...)
		return
	}
	chunk := make([]byte, 0, max(len(b), minChunkBytes))
	q.chunks = append(q.chunks, append(chunk, b...))
}

// peek returns bytes at an offset, at most maxBytes and those of one chunk.
func (q *byteQueue) peek(offset int64, maxBytes int) []byte {
	skip := offset - q.start
	for _, chunk := range q.chunks {
		size := int64(len(chunk))
		if skip < size {
			return chunk[skip:min(size, skip+int64(maxBytes))]
		}
		skip -= size
	}
	return nil
}

// discard drops the chunks that lie completely before an offset, and returns their size.
func (q *byteQueue) discard(offset int64) int {
	freed := 0
	for len(q.chunks) > 0 && q.start+int64(len(q.chunks[0])) <= offset {
		size := len(q.chunks[0])
		q.chunks[0] = nil
		q.chunks = q.chunks[1:]
		q.start += int64(size)
		freed += size
	}
	if len(q.chunks) == 0 {
		q.chunks = nil
	}
	return freed
}

// clear drops all bytes. The offsets go on.
func (q *byteQueue) clear() { *q = byteQueue{start: q.end, end: q.end} }

func (q *byteQueue) size() int { return int(q.end - q.start) }
