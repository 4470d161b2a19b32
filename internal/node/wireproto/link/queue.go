package link

import (
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

// keptBufferSize bounds the buffers that a queue keeps while nothing waits.
const keptBufferSize = 16 << 10

// queue is a row of encoded frames that wait. The Network's mutex guards it.
type queue struct {
	frames   []byte
	messages int
	// inFlight is the size of the batch that was taken last, until it is released.
	inFlight int
	// spare is the buffer of the batch before.
	spare []byte
}

// batch is what a queue held when it was taken.
type batch struct {
	frames   []byte
	messages int
}

// enqueue encodes the envelope at the end of the queue. It reports whether there was room. The mutex is held.
func (n *Network) enqueue(q *queue, envelope *nodepb.Envelope) bool {
	before := len(q.frames)
	frames, err := n.sender.Append(q.frames, envelope)
	if err != nil {
		n.counters.droppedUnencodable.Add(1)
		n.options.Log.Warn("message can't be sent", "error", err)
		return false
	}
	size := len(frames) - before
	if !n.hasRoom(before+q.inFlight, size) {
		n.counters.droppedQueueFull.Add(1)
		return false
	}
	q.frames = frames
	q.messages++
	n.queuedBytes += size
	n.counters.sent(wireproto.KindOf(envelope), size)
	return true
}

// hasRoom reports whether size bytes more may wait in a queue that holds waiting bytes.
func (n *Network) hasRoom(waiting, size int) bool {
	if waiting > 0 && waiting+size > n.options.MaxQueueBytes {
		return false
	}
	return n.queuedBytes == 0 || n.queuedBytes+size <= n.options.MaxTotalBytes
}

// take empties the queue. The bytes of the batch count as waiting until release. The mutex is held.
func (q *queue) take() batch {
	taken := batch{frames: q.frames, messages: q.messages}
	q.inFlight = len(q.frames)
	q.frames, q.spare = q.spare[:0], nil
	q.messages = 0
	return taken
}

// release ends the batch that was taken, and keeps its buffer for another. The mutex is held.
func (n *Network) release(q *queue, done batch) {
	n.queuedBytes -= len(done.frames)
	q.inFlight = 0
	if cap(done.frames) <= keptBufferSize {
		q.spare = done.frames[:0]
	}
}

// drop empties the queue without sending what it holds. No batch is out. The mutex is held.
func (n *Network) drop(q *queue) {
	dropped := q.take()
	n.release(q, dropped)
	n.counters.droppedConnection.Add(uint64(dropped.messages))
}
