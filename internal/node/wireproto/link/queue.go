package link

import (
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

// maxRetainedBufferSize bounds the buffers that a queue keeps while nothing waits.
const maxRetainedBufferSize = 16 << 10

// queue is a row of encoded frames that wait. The Network's mutex guards it.
type queue struct {
	pending         []byte
	pendingMessages int
	// inFlightBytes is the size of the batch that was taken last, until it is released.
	inFlightBytes int
	// spareBuffer is the buffer of the batch before.
	spareBuffer []byte
}

// batch is what a queue held when it was taken.
type batch struct {
	frames   []byte
	messages int
}

// enqueue encodes the envelope at the end of the queue. It reports whether there was room. The mutex is held.
func (n *Network) enqueue(q *queue, envelope *nodepb.Envelope) bool {
	before := len(q.pending)
	frames, err := n.sender.Append(q.pending, envelope)
	if err != nil {
		n.counters.droppedUnencodable.Add(1)
		n.options.Log.Warn("message can't be sent", "error", err)
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

// hasCapacity reports whether size bytes more may wait in a queue that holds waiting bytes.
func (n *Network) hasCapacity(waiting, size int) bool {
	if waiting > 0 && waiting+size > n.options.MaxQueueBytes {
		return false
	}
	return n.queuedBytes == 0 || n.queuedBytes+size <= n.options.MaxTotalBytes
}

// take empties the queue. The bytes of the batch count as waiting until release. The mutex is held.
func (q *queue) take() batch {
	taken := batch{frames: q.pending, messages: q.pendingMessages}
	q.inFlightBytes = len(q.pending)
	q.pending, q.spareBuffer = q.spareBuffer[:0], nil
	q.pendingMessages = 0
	return taken
}

// release ends the batch that was taken, and keeps its buffer for another. The mutex is held.
func (n *Network) release(q *queue, done batch) {
	n.queuedBytes -= len(done.frames)
	q.inFlightBytes = 0
	if cap(done.frames) <= maxRetainedBufferSize {
		q.spareBuffer = done.frames[:0]
	}
}

// drop empties the queue without sending what it holds. No batch is out. The mutex is held.
func (n *Network) drop(q *queue) {
	dropped := q.take()
	n.release(q, dropped)
	n.counters.droppedConnection.Add(uint64(dropped.messages))
}
