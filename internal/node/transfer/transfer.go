// Package transfer sends messages that are too large for one frame between nodes, as fragments.
//
// A fragment is sent once the ones before it are acknowledged, but for a small window, so that heartbeats and other short
// messages on the same link wait for a few fragments at most. A transfer that loses fragments goes on from the last byte that
// was acknowledged, also by another way. Like every message between nodes, one that is sent as fragments may be lost as a whole;
// whoever needs it sends it again.
//
// Source: docs/design/control.md, "Large states".
package transfer

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// Threshold is the size from which on a message is sent as fragments, in bytes.
	Threshold = 128 << 10
	// MaxMessage bounds a message that is sent or received as fragments, in bytes.
	MaxMessage = 64 << 20

	// fragmentBytes takes 26 ms on a link of 10 Mbit/s.
	fragmentBytes = 32 << 10
	// windowBytes of one transfer, and allWindows of all of them, may be under way without an acknowledgement.
	windowBytes      = 2 * fragmentBytes
	totalWindowBytes = 4 * fragmentBytes
	// maxOutgoing, of urgent ones and of others, and maxIncoming bound the transfers under way, and maxIncomingBytes what they may
	// hold here.
	maxOutgoing      = 4
	maxIncoming      = 16
	maxIncomingBytes = MaxMessage

	retryDelay      = 250 * time.Millisecond // without an acknowledgement, a fragment is sent again
	maxRetryDelay   = 4 * retryDelay         // between later ones
	transferTimeout = 10 * time.Second       // without progress, a transfer ends
	stallTimeout    = time.Second            // without progress, it gives way to a new one
)

// outgoing is a message on its way to another node.
type outgoing struct {
	id          uint64
	destination string
	subject     Subject
	data        []byte
	ackedBytes  int    // bytes that the receiver has
	sentBytes   int    // bytes sent, at least once
	receiverID  string // of the receiver that acknowledged
	retries     int    // since the last acknowledgement
	retryAt     core.Time
	progressAt  core.Time // when acked last rose
}

// Subject tells what a message is about. Of messages to one node with the same slot only one is under way at a time: another with
// the same version is dropped, one with another version takes its place.
type Subject struct {
	Slot    string
	Version string
	// Urgent messages, on which acknowledgements wait, go before others.
	Urgent bool
}

// Transfers is the state machine of one node's transfers.
type Transfers struct {
	counter  uint64
	outgoing []*outgoing
	incoming map[incomingKey]*incoming
	outputs  []core.Output
}

// New starts without transfers. random makes their numbers differ between the lives of a process.
func New(random *rand.Rand) *Transfers {
	return &Transfers{counter: random.Uint64(), incoming: make(map[incomingKey]*incoming)}
}

// Send starts to send the message to the node, unless it is larger than MaxMessage or too many are under way.
func (t *Transfers) Send(now core.Time, destination string, subject Subject, message *nodepb.Envelope) []core.Output {
	if t.occupied(destination, subject) || !t.makeCapacity(now, subject.Urgent) {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > MaxMessage {
		t.output(core.Log{Message: "message can't be sent", Fields: []any{"subject", subject.Slot, "bytes", len(data), "error", err}})
		return t.takeOutputs()
	}
	t.counter++
	t.outgoing = append(t.outgoing, &outgoing{
		id: t.counter, destination: destination, subject: subject, data: data, retryAt: now + retryDelay, progressAt: now,
	})
	t.pump(now)
	return t.takeOutputs()
}

// occupied reports whether a message about the same is under way to the node. One that is out of date is given up.
func (t *Transfers) occupied(destination string, subject Subject) bool {
	same := func(o *outgoing) bool { return o.destination == destination && o.subject.Slot == subject.Slot }
	at := slices.IndexFunc(t.outgoing, same)
	if at < 0 {
		return false
	}
	if t.outgoing[at].subject.Version == subject.Version {
		return true
	}
	t.outgoing = slices.Delete(t.outgoing, at, at+1)
	return false
}

// makeCapacity reports whether another transfer may begin. Where there are too many, the one that made no progress for longest ends, if
// that is long enough: its receiver may be gone, and must not hold up the others.
func (t *Transfers) makeCapacity(now core.Time, urgent bool) bool {
	count, slowest := 0, -1
	for i, o := range t.outgoing {
		if o.subject.Urgent != urgent {
			continue
		}
		count++
		if slowest < 0 || o.progressAt < t.outgoing[slowest].progressAt {
			slowest = i
		}
	}
	if count < maxOutgoing {
		return true
	}
	if now-t.outgoing[slowest].progressAt < stallTimeout {
		return false
	}
	t.outgoing = slices.Delete(t.outgoing, slowest, slowest+1)
	return true
}

// pump sends fragments while the windows have room: urgent transfers first, and else by turns.
func (t *Transfers) pump(now core.Time) {
	inFlight := 0
	for _, o := range t.outgoing {
		if o.retries == 0 {
			inFlight += o.sentBytes - o.ackedBytes
		}
	}
	inFlight = t.pumpUrgency(now, true, inFlight)
	t.pumpUrgency(now, false, inFlight)
}

// pumpUrgency sends fragments of urgent transfers, or of the others. What is under way of transfers that had to send again is not
// waited for, as their receivers may be gone.
func (t *Transfers) pumpUrgency(now core.Time, urgent bool, inFlight int) int {
	for progress := true; progress && inFlight < totalWindowBytes; {
		progress = false
		for _, o := range t.outgoing {
			full := o.sentBytes >= len(o.data) || o.sentBytes-o.ackedBytes >= o.windowSize()
			if o.subject.Urgent != urgent || full || o.retries == 0 && inFlight >= totalWindowBytes {
				continue
			}
			sent := t.sendFragment(now, o)
			progress = true
			if o.retries == 0 {
				inFlight += sent
			}
		}
	}
	return inFlight
}

// awaitsAck reports whether fragments are under way whose acknowledgement has not come.
func (o *outgoing) awaitsAck() bool { return o.sentBytes > o.ackedBytes }

// windowSize is how many bytes may be under way: a single fragment until one that was sent again is acknowledged.
func (o *outgoing) windowSize() int {
	if o.retries > 0 {
		return fragmentBytes
	}
	return windowBytes
}

// sendFragment sends the next fragment and returns its size.
func (t *Transfers) sendFragment(now core.Time, o *outgoing) int {
	if o.sentBytes == o.ackedBytes && o.retries == 0 {
		o.retryAt = now + retryDelay
	}
	part := o.data[o.sentBytes:min(o.sentBytes+fragmentBytes, len(o.data))]
	fragment := &nodepb.Fragment{Transfer: o.id, Total: uint64(len(o.data)), Offset: uint64(o.sentBytes), Data: part}
	t.send(o.destination, &nodepb.Envelope{Body: &nodepb.Envelope_Fragment{Fragment: fragment}})
	o.sentBytes += len(part)
	return len(part)
}

// Receive takes fragments and their acknowledgements.
func (t *Transfers) Receive(now core.Time, from core.Peer, envelope *nodepb.Envelope) []core.Output {
	switch body := envelope.GetBody().(type) {
	case *nodepb.Envelope_Fragment:
		t.receiveFragment(now, from, body.Fragment)
	case *nodepb.Envelope_FragmentAck:
		t.receiveAck(now, from, body.FragmentAck)
	}
	return t.takeOutputs()
}

// receiveAck goes on behind what the receiver has. Another life of the receiver has nothing of what the one before had.
func (t *Transfers) receiveAck(now core.Time, from core.Peer, ack *nodepb.FragmentAck) {
	at := slices.IndexFunc(t.outgoing, func(o *outgoing) bool { return o.id == ack.GetTransfer() && o.destination == from.Address })
	if at < 0 || ack.GetReceived() > uint64(len(t.outgoing[at].data)) {
		return
	}
	o := t.outgoing[at]
	received := int(ack.GetReceived())
	switch {
	case from.NodeID != o.receiverID:
		o.receiverID = from.NodeID
		o.ackedBytes, o.sentBytes = received, max(received, min(o.sentBytes, received+windowBytes))
	case received <= o.ackedBytes:
		return
	default:
		o.ackedBytes, o.sentBytes = received, max(received, o.sentBytes)
	}
	o.progressAt = now
	o.retries = 0
	o.retryAt = now + retryDelay
	if o.ackedBytes == len(o.data) {
		t.outgoing = slices.Delete(t.outgoing, at, at+1)
	}
	t.pump(now)
}

// Tick sends again what was not acknowledged, and ends transfers that make no progress.
func (t *Transfers) Tick(now core.Time) []core.Output {
	t.outgoing = slices.DeleteFunc(t.outgoing, func(o *outgoing) bool { return now-o.progressAt >= transferTimeout })
	for _, o := range t.outgoing {
		if o.awaitsAck() && now >= o.retryAt {
			o.retries++
			o.retryAt = now + min(retryDelay<<min(o.retries, 4), maxRetryDelay)
			o.sentBytes = o.ackedBytes
		}
	}
	t.pump(now)
	t.expireIncoming(now)
	return t.takeOutputs()
}

// Deadline is when Tick wants to be called.
func (t *Transfers) Deadline() core.Time {
	deadline := core.Never
	for _, o := range t.outgoing {
		deadline = min(deadline, o.progressAt+transferTimeout)
		if o.awaitsAck() {
			deadline = min(deadline, o.retryAt)
		}
	}
	for _, i := range t.incoming {
		deadline = min(deadline, i.progressAt+transferTimeout)
	}
	return deadline
}

func (t *Transfers) output(output core.Output) { t.outputs = append(t.outputs, output) }

func (t *Transfers) send(destination string, message *nodepb.Envelope) {
	t.output(core.Send{Destination: destination, Message: message})
}

func (t *Transfers) takeOutputs() []core.Output {
	outputs := t.outputs
	t.outputs = nil
	return outputs
}
