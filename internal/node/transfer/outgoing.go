package transfer

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// maxOutgoing bounds the outgoing transfers at a time: urgent ones and others, each.
const maxOutgoing = 4

// outgoing is a message that is being sent to another node.
type outgoing struct {
	id          uint64
	destination string // internal address
	subject     Subject
	data        []byte    // the encoded message
	ackedBytes  int       // bytes that the receiver has acknowledged
	sentBytes   int       // bytes sent since the last retry, acknowledged ones included
	receiverID  string    // node id of the process that acknowledged last
	retries     int       // since the last acknowledgement
	retryAt     core.Time // when fragments in flight are sent again
	progressAt  core.Time // when ackedBytes last rose
}

// Send starts to send the message to the node at an internal address, unless it is larger than
// MaxMessage, or one with the same subject or too many others are under way. It reports no failure:
// like every message, this one may be lost.
func (t *Transfers) Send(
	now core.Time, destination string, subject Subject, message *nodepb.Envelope,
) []core.Output {
	if t.occupied(destination, subject) || !t.makeCapacity(now, subject.Urgent) {
		return nil
	}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > MaxMessage {
		t.outbox.Add(core.Log{
			Message: "transfer: message can't be sent",
			Fields:  []any{"subject", subject.Slot, "bytes", len(data), "error", err},
		})
		return t.outbox.Take()
	}
	t.counter++
	t.outgoing = append(t.outgoing, &outgoing{
		id:          t.counter,
		destination: destination,
		subject:     subject,
		data:        data,
		retryAt:     now + retryDelay,
		progressAt:  now,
	})
	t.pump(now)
	return t.outbox.Take()
}

// occupied reports whether a message with the same slot and version is being sent to the node. One
// with another version is out of date, and ends.
func (t *Transfers) occupied(destination string, subject Subject) bool {
	index := slices.IndexFunc(t.outgoing, func(out *outgoing) bool {
		return out.destination == destination && out.subject.Slot == subject.Slot
	})
	if index < 0 {
		return false
	}
	if t.outgoing[index].subject.Version == subject.Version {
		return true
	}
	t.outgoing = slices.Delete(t.outgoing, index, index+1)
	return false
}

// makeCapacity reports whether another transfer may begin. Where there are too many, the one
// without progress for longest ends, if that is at least stallTimeout: its receiver may be gone,
// and must not hold up the others.
func (t *Transfers) makeCapacity(now core.Time, urgent bool) bool {
	count, slowest := 0, -1
	for i, out := range t.outgoing {
		if out.subject.Urgent != urgent {
			continue
		}
		count++
		if slowest < 0 || out.progressAt < t.outgoing[slowest].progressAt {
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

// pump sends fragments as far as the windows allow: those of urgent transfers first.
func (t *Transfers) pump(now core.Time) {
	inFlight := 0
	for _, out := range t.outgoing {
		if out.retries == 0 {
			inFlight += out.sentBytes - out.ackedBytes
		}
	}
	inFlight = t.pumpUrgency(now, true, inFlight)
	t.pumpUrgency(now, false, inFlight)
}

// pumpUrgency sends fragments of the urgent transfers, or of the others, in turns, and returns the
// bytes in flight afterwards. Transfers that retry don't count: their receivers may be gone.
func (t *Transfers) pumpUrgency(now core.Time, urgent bool, inFlight int) int {
	for progress := true; progress && inFlight < totalWindowBytes; {
		progress = false
		for _, out := range t.outgoing {
			if out.subject.Urgent != urgent || !out.maySend() {
				continue
			}
			if out.retries == 0 && inFlight >= totalWindowBytes {
				continue
			}
			sent := t.sendFragment(now, out)
			progress = true
			if out.retries == 0 {
				inFlight += sent
			}
		}
	}
	return inFlight
}

// sendFragment sends the next fragment and returns its size in bytes.
func (t *Transfers) sendFragment(now core.Time, out *outgoing) int {
	if out.sentBytes == out.ackedBytes && out.retries == 0 {
		out.retryAt = now + retryDelay
	}
	data := out.data[out.sentBytes:min(out.sentBytes+fragmentBytes, len(out.data))]
	fragment := &nodepb.Fragment{
		Transfer: out.id,
		Total:    uint64(len(out.data)),
		Offset:   uint64(out.sentBytes),
		Data:     data,
	}
	t.outbox.Send(out.destination, &nodepb.Envelope{Body: &nodepb.Envelope_Fragment{Fragment: fragment}})
	out.sentBytes += len(data)
	return len(data)
}

// receiveAck continues after the bytes that the receiver has. After a restart, the receiver has
// none of the bytes that its previous process acknowledged.
func (t *Transfers) receiveAck(now core.Time, from core.Peer, ack *nodepb.FragmentAck) {
	index := slices.IndexFunc(t.outgoing, func(out *outgoing) bool {
		return out.id == ack.GetTransfer() && out.destination == from.Address
	})
	if index < 0 || ack.GetReceived() > uint64(len(t.outgoing[index].data)) {
		return
	}
	out := t.outgoing[index]
	received := int(ack.GetReceived())
	switch {
	case from.NodeID != out.receiverID:
		out.receiverID = from.NodeID
		out.ackedBytes = received
		out.sentBytes = max(received, min(out.sentBytes, received+windowBytes))
	case received <= out.ackedBytes:
		return
	default:
		out.ackedBytes = received
		out.sentBytes = max(received, out.sentBytes)
	}
	out.progressAt = now
	out.retries = 0
	out.retryAt = now + retryDelay
	if out.ackedBytes == len(out.data) {
		t.outgoing = slices.Delete(t.outgoing, index, index+1)
	}
	t.pump(now)
}

// awaitsAck reports whether fragments are in flight.
func (out *outgoing) awaitsAck() bool { return out.sentBytes > out.ackedBytes }

// maySend reports whether bytes are left to send and the window isn't full.
func (out *outgoing) maySend() bool {
	return out.sentBytes < len(out.data) && out.sentBytes-out.ackedBytes < out.windowSize()
}

// windowSize is how many bytes may be in flight: a single fragment while the transfer retries.
func (out *outgoing) windowSize() int {
	if out.retries > 0 {
		return fragmentBytes
	}
	return windowBytes
}

// retry goes back to the last acknowledged byte, with a backoff.
func (out *outgoing) retry(now core.Time) {
	const maxDoublings = 4 // keeps the shift from overflowing
	out.retries++
	out.retryAt = now + min(retryDelay<<min(out.retries, maxDoublings), maxRetryDelay)
	out.sentBytes = out.ackedBytes
}
