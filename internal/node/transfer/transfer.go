// Package transfer sends messages that are too large for one frame between nodes, as fragments.
//
// The sender keeps a small window of fragments in flight and sends the next ones as these are
// acknowledged, so that heartbeats and other short messages on the same link wait for a few
// fragments at most. A transfer that loses fragments resumes after the last byte that was
// acknowledged, also over another route.
//
// It isn't reliable delivery: like every message between nodes, one that is sent as fragments may
// be lost as a whole, and whoever needs it sends it again. The package is a state machine without
// I/O: see package core.
//
// Invariants:
//   - A message that is delivered equals the message that was sent, and is delivered at most once by
//     a process of the receiver while it remembers the transfer.
//   - Memory is bounded, whatever a peer sends: by maxIncoming transfers and maxIncomingBytes.
//   - Transfers whose receiver doesn't answer hold up no others.
//
// Source: docs/design/control.md, "Large states".
package transfer

import (
	"math/rand/v2"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// Threshold is the size in bytes from which on a message is sent as fragments.
	Threshold = 128 << 10
	// MaxMessage bounds the size in bytes of a message that is sent or received as fragments.
	MaxMessage = 64 << 20

	// fragmentBytes takes 26 ms on a link of 10 Mbit/s, the slowest of the deployments.
	fragmentBytes = 32 << 10
	// windowBytes bounds the bytes in flight of one transfer: one fragment on the link, and one
	// that follows while the first is acknowledged.
	windowBytes = 2 * fragmentBytes
	// totalWindowBytes bounds the bytes in flight of all transfers, so that a short message waits
	// for four fragments at most.
	totalWindowBytes = 4 * fragmentBytes

	// retryDelay is the time without an acknowledgement after which fragments are sent again. It
	// doubles with each retry, up to maxRetryDelay.
	retryDelay    = 250 * time.Millisecond
	maxRetryDelay = 4 * retryDelay
	// transferTimeout is the time without progress after which a transfer ends.
	transferTimeout = 10 * time.Second
	// stallTimeout is the time without progress after which a transfer gives way to a new one.
	stallTimeout = time.Second
)

// Transfers is the state machine of one node's transfers. It is not safe for concurrent use.
type Transfers struct {
	counter  uint64 // number of the last outgoing transfer
	outgoing []*outgoing
	incoming map[incomingKey]*incoming
	outbox   core.Outbox // of the current input
}

// New returns a state machine without transfers. Their numbers begin at a random one, so that those
// of two processes of a node differ.
func New(random *rand.Rand) *Transfers {
	return &Transfers{counter: random.Uint64(), incoming: make(map[incomingKey]*incoming)}
}

// Receive takes fragments and their acknowledgements. A message that is complete follows as
// core.MessageReassembled.
func (t *Transfers) Receive(now core.Time, from core.Peer, envelope *nodepb.Envelope) []core.Output {
	switch body := envelope.GetBody().(type) {
	case *nodepb.Envelope_Fragment:
		t.receiveFragment(now, from, body.Fragment)
	case *nodepb.Envelope_FragmentAck:
		t.receiveAck(now, from, body.FragmentAck)
	}
	return t.outbox.Take()
}

// Tick sends unacknowledged fragments again, and ends transfers without progress.
func (t *Transfers) Tick(now core.Time) []core.Output {
	t.outgoing = slices.DeleteFunc(t.outgoing, func(out *outgoing) bool {
		return now-out.progressAt >= transferTimeout
	})
	for _, out := range t.outgoing {
		if out.awaitsAck() && now >= out.retryAt {
			out.retry(now)
		}
	}
	t.pump(now)
	t.expireIncoming(now)
	return t.outbox.Take()
}

// Deadline returns when Tick is to be called next.
func (t *Transfers) Deadline() core.Time {
	deadline := core.Never
	for _, out := range t.outgoing {
		deadline = min(deadline, out.progressAt+transferTimeout)
		if out.awaitsAck() {
			deadline = min(deadline, out.retryAt)
		}
	}
	for _, in := range t.incoming {
		deadline = min(deadline, in.progressAt+transferTimeout)
	}
	return deadline
}
