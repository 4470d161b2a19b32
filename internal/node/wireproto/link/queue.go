package link

import (
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

// maxRetainedBufferSize bounds the buffers that a queue retains while it is empty, in bytes.
const maxRetainedBufferSize = 16 << 10

// queue holds encoded frames to be written. The Network's mutex guards it.
type queue struct {
	pending         []byte
	pendingMessages int
	// inFlightBytes is the size of the batch that was taken last, until its release.
	inFlightBytes int
	// spareBuffer is the buffer of the batch before that.
	spareBuffer []byte
}

// batch is the content of a queue that was taken to be written.
type batch struct {
	frames   []byte
	messages int
}

// enqueue encodes the envelope at the end of the queue. It reports false, and counts the message as
// dropped, where it can't be encoded or exceeds the capacity. The mutex must be held.
func (n *Network) enqueue(q *queue, envelope *nodepb.Envelope) bool {
	before := len(q.pending)
	frames, err := n.sender.Append(q.pending, envelope)
	if err != nil {
		n.counters.droppedUnencodable.Add(1)
		n.options.Log.Warn("link: message not encodable", "error", err)
		return false
	}
	size := len(frames) - before
	if !n.hasCapacity(before+q.inFlightBytes, size) {
		n.counters.droppedQueueFull.Add(1)
		return false
	}
	q.pending = frames
	q.pendingMessages++
	n.queuedBytes += size
	n.counters.sent(wireproto.KindOf(envelope), size)
	return true
}

// hasCapacity reports whether size bytes more may be queued behind waiting bytes.
func (n *Network) hasCapacity(waiting, size int) bool {
	if waiting > 0 && waiting+size > n.options.MaxQueueBytes {
		return false
	}
	return n.queuedBytes == 0 || n.queuedBytes+size <= n.options.MaxTotalBytes
}

// take empties the queue. The bytes of the batch count against the capacity until release. The mutex
// must be held.
func (q *queue) take() batch {
	taken := batch{frames: q.pending, messages: q.pendingMessages}
	q.inFlightBytes = len(q.pending)
	q.pending, q.spareBuffer = q.spareBuffer[:0], nil
	q.pendingMessages = 0
	return taken
}

// release ends the batch that was taken, and retains its buffer for the next one. The mutex must be
// held.
func (n *Network) release(q *queue, done batch) {
	n.queuedBytes -= len(done.frames)
	q.inFlightBytes = 0
	if cap(done.frames) <= maxRetainedBufferSize {
		q.spareBuffer = done.frames[:0]
	}
}

// drop discards the queue. No batch may be in flight. The mutex must be held.
func (n *Network) drop(q *queue) {
	dropped := q.take()
	n.release(q, dropped)
	n.counters.droppedConnection.Add(uint64(dropped.messages))
}
