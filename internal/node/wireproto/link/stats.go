package link

import (
	"sync/atomic"

	"kestrelspread/internal/node/wireproto"
)

// Stats are counters since the start of a Network. Bytes are of frames with their headers.
type Stats struct {
	// Kinds holds the kinds of messages that were sent or received, in the order of the schema.
	Kinds []KindStats

	// DroppedQueueFull counts messages dropped at a full queue, of their peer or of all together.
	DroppedQueueFull uint64
	// DroppedBackoff counts messages dropped during the backoff of an unreachable peer.
	DroppedBackoff uint64
	// DroppedConnection counts messages that were queued but lost, as the peer could not be reached or
	// didn't read.
	DroppedConnection uint64
	// DroppedUnencodable counts messages that are too large or can't be encoded.
	DroppedUnencodable uint64

	// Dials and DialFailures count attempts to connect to peers, and those that failed.
	Dials        uint64
	DialFailures uint64
	// Accepted counts connections of peers; AcceptedRefused those closed at once, as there were too many.
	Accepted         uint64
	AcceptedRejected uint64

	// OtherProtocol counts messages of nodes with another version of the schema.
	OtherProtocol uint64
	// Undecodable counts complete frames without a known message.
	Undecodable uint64
	// BrokenStreams counts accepted connections that ended inside a frame or sent something other than
	// frames.
	BrokenStreams uint64
}

// KindStats are the counters of one kind of message.
type KindStats struct {
	Kind             wireproto.Kind
	SentMessages     uint64 // queued; some of them may have been dropped later
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
}

// counters are the counters behind Stats.
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

// sent counts a message that was queued.
func (c *counters) sent(kind wireproto.Kind, size int) {
	c.sentMessages[kind].Add(1)
	c.sentBytes[kind].Add(uint64(size))
}

// received counts a message that arrived.
func (c *counters) received(kind wireproto.Kind, size int) {
	c.receivedMessages[kind].Add(1)
	c.receivedBytes[kind].Add(uint64(size))
}

// Stats returns the current counters.
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

// kind returns the counters of one kind.
func (c *counters) kind(kind wireproto.Kind) KindStats {
	return KindStats{
		Kind:             kind,
		SentMessages:     c.sentMessages[kind].Load(),
		SentBytes:        c.sentBytes[kind].Load(),
		ReceivedMessages: c.receivedMessages[kind].Load(),
		ReceivedBytes:    c.receivedBytes[kind].Load(),
	}
}
