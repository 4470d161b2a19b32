package link

import (
	"bytes"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/wireproto"
)

// loopback delivers messages to the node's own address to Options.Receive, in their order. They pass
// through the codec like any other, so that sender and receiver share no memory. The Network's mutex
// guards queue and delivering.
type loopback struct {
	network    *Network
	queue      queue
	delivering bool // a goroutine runs deliver

	// source and reader belong to the goroutine that runs deliver.
	source bytes.Reader
	reader *wireproto.Reader
}

// newLoopback returns the loopback of a network.
func newLoopback(network *Network) *loopback {
	l := &loopback{network: network}
	l.reader = wireproto.NewReader(&l.source)
	return l
}

// send queues the envelope, and starts the delivery unless it runs. The mutex must be held.
func (l *loopback) send(envelope *nodepb.Envelope) {
	n := l.network
	if n.enqueue(&l.queue, envelope) && !l.delivering {
		l.delivering = true
		n.startSender(l.deliver)
	}
}

// deliver delivers batches until the queue is empty or the Network is closed.
func (l *loopback) deliver() {
	n := l.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for len(l.queue.pending) > 0 && !n.closed {
		taken := l.queue.take()
		n.mutex.Unlock()
		l.decodeAll(taken.frames)
		n.mutex.Lock()
		n.release(&l.queue, taken)
	}
	l.delivering = false
	n.endSender()
}

// decodeAll decodes and delivers all messages of a batch.
func (l *loopback) decodeAll(frames []byte) {
	l.source.Reset(frames)
	l.reader.Reset(&l.source)
	self := core.Peer{NodeID: l.network.options.SelfID, Address: l.network.options.SelfAddress}
	for l.source.Len()+l.reader.Buffered() > 0 {
		if err := l.network.receive(l.reader, &self); err != nil {
			return
		}
	}
}
