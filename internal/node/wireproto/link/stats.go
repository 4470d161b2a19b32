package link

import (
	"sync/atomic"

	"kestrelspread/internal/node/wireproto"
)

// Stats are counters since the start of a Network. Bytes are those of whole frames.
type Stats struct {
	// Kinds holds the kinds of messages that were sent or received, in the order of the schema.
	Kinds []KindStats

	// DroppedQueueFull counts messages that found the queue of their peer, or all queues together, full.
	DroppedQueueFull uint64
	// DroppedBackoff counts messages to a peer that could not be reached a moment before.
	DroppedBackoff uint64
	// DroppedConnection counts messages that were taken but lost as the peer could not be reached or did not read.
	DroppedConnection uint64
	// DroppedUnencodable counts messages that are too large or can't be encoded.
	DroppedUnencodable uint64

	// Dials and DialFailures count connections to peers that were tried, and those that did not come up.
	Dials        uint64
	DialFailures uint64
	// Accepted counts connections of peers; AcceptedRefused those closed at once, as there were too many.
	Accepted         uint64
	AcceptedRejected uint64

	// OtherProtocol counts messages of nodes that speak another version of the schema.
	OtherProtocol uint64
	// Undecodable counts whole frames that hold no known message.
	Undecodable uint64
	// BrokenStreams counts accepted connections that ended within a frame or sent something other than frames.
	BrokenStreams uint64
}

// KindStats are the counters of one kind of message.
type KindStats struct {
	Kind             wireproto.Kind
	SentMessages     uint64 // taken to be sent; some of them may have been dropped later
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
}

type counters struct {
	sentMessages     [wireproto.KindLimit]atomic.Uint64
	sentBytes        [wireproto.KindLimit]atomic.Uint64
	receivedMessages [wireproto.KindLimit]atomic.Uint64
	receivedBytes    [wireproto.KindLimit]atomic.Uint64

	droppedQueueFull   atomic.Uint64
	droppedBackoff     atomic.Uint64
	droppedConnection  atomic.Uint64
	droppedUnencodable atomic.Uint64
	dials              atomic.Uint64
	dialFailures       atomic.Uint64
	accepted           atomic.Uint64
	acceptedRejected   atomic.Uint64
	otherProtocol      atomic.Uint64
	undecodable        atomic.Uint64
	brokenStreams      atomic.Uint64
}

func (c *counters) sent(kind wireproto.Kind, size int) {
	c.sentMessages[kind].Add(1)
	c.sentBytes[kind].Add(uint64(size))
}

func (c *counters) received(kind wireproto.Kind, size int) {
	c.receivedMessages[kind].Add(1)
	c.receivedBytes[kind].Add(uint64(size))
}

// Stats returns the counters as they stand.
func (n *Network) Stats() Stats {
	c := &n.counters
	stats := Stats{
		DroppedQueueFull:   c.droppedQueueFull.Load(),
		DroppedBackoff:     c.droppedBackoff.Load(),
		DroppedConnection:  c.droppedConnection.Load(),
		DroppedUnencodable: c.droppedUnencodable.Load(),
		Dials:              c.dials.Load(),
		DialFailures:       c.dialFailures.Load(),
		Accepted:           c.accepted.Load(),
		AcceptedRejected:   c.acceptedRejected.Load(),
		OtherProtocol:      c.otherProtocol.Load(),
		Undecodable:        c.undecodable.Load(),
		BrokenStreams:      c.brokenStreams.Load(),
	}
	for kind := range wireproto.Kind(wireproto.KindLimit) {
		counted := c.kind(kind)
		if counted.SentMessages+counted.ReceivedMessages > 0 {
			stats.Kinds = append(stats.Kinds, counted)
		}
	}
	return stats
}

func (c *counters) kind(kind wireproto.Kind) KindStats {
	return KindStats{
		Kind:             kind,
		SentMessages:     c.sentMessages[kind].Load(),
		SentBytes:        c.sentBytes[kind].Load(),
		ReceivedMessages: c.receivedMessages[kind].Load(),
		ReceivedBytes:    c.receivedBytes[kind].Load(),
	}
}
