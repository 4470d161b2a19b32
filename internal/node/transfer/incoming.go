package transfer

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// The bounds of the incoming transfers that are not complete: of their number, and of the bytes
// that they may need here.
const (
	maxIncoming      = 16
	maxIncomingBytes = MaxMessage
)

// incomingKey names a transfer. Its number is unique in one process of the sender, whose node id is
// a new one at every start.
type incomingKey struct {
	sender string // node id
	id     uint64
}

// less orders keys by id, and those of several senders alike by sender.
func (k incomingKey) less(other incomingKey) bool {
	if k.id != other.id {
		return k.id < other.id
	}
	return k.sender < other.sender
}

// incoming is a message that is being received, or that has been.
type incoming struct {
	total      int            // size of the message in bytes
	data       []byte         // received without a gap; nil once the message was delivered
	outOfOrder map[int][]byte // fragments after a gap, by offset: at most a window of them
	complete   bool
	progressAt core.Time // when data last grew
}

// receivedBytes is the number of bytes received without a gap.
func (in *incoming) receivedBytes() int {
	if in.complete {
		return in.total
	}
	return len(in.data)
}

// receiveFragment adds a fragment to its transfer and acknowledges what has been received. A
// fragment of a new transfer for which there is no capacity is dropped without an acknowledgement.
func (t *Transfers) receiveFragment(now core.Time, from core.Peer, fragment *nodepb.Fragment) {
	key := incomingKey{sender: from.NodeID, id: fragment.GetTransfer()}
	in := t.incoming[key]
	if in == nil {
		total := fragment.GetTotal()
		if !t.hasCapacity(total) && (!t.dropStalled(now) || !t.hasCapacity(total)) {
			return
		}
		in = &incoming{total: int(total), progressAt: now}
		t.incoming[key] = in
	}
	if !in.complete {
		in.add(now, fragment.GetOffset(), fragment.GetData())
	}
	ack := &nodepb.FragmentAck{Transfer: key.id, Received: uint64(in.receivedBytes())}
	t.outbox.Send(from.Address, &nodepb.Envelope{Body: &nodepb.Envelope_FragmentAck{FragmentAck: ack}})
	if in.complete && in.data != nil {
		t.deliver(from, in)
	}
}

// add adds a fragment, and the fragments after it that came earlier. Offsets and lengths come from
// the network, and are not trusted.
func (in *incoming) add(now core.Time, offset uint64, data []byte) {
	if offset > uint64(in.total) || len(data) > in.total-int(offset) || len(data) == 0 {
		return
	}
	position := int(offset)
	if in.isAfterGap(position) {
		if in.outOfOrder == nil {
			in.outOfOrder = map[int][]byte{}
		}
		in.outOfOrder[position] = data
		return
	}
	for next := data; position == len(in.data) && len(next) > 0; next = in.outOfOrder[position] {
		in.data = append(in.data, next...)
		in.progressAt = now
		delete(in.outOfOrder, position)
		position = len(in.data)
	}
	if len(in.data) == in.total {
		in.complete = true
		in.outOfOrder = nil
	}
}

// isAfterGap reports whether a fragment at the position follows a gap within the window, and may be
// kept until the gap is filled.
func (in *incoming) isAfterGap(position int) bool {
	return position > len(in.data) &&
		position <= len(in.data)+windowBytes &&
		len(in.outOfOrder) < windowBytes/fragmentBytes
}

// hasCapacity reports whether another transfer of that size may come in. Complete ones need none.
func (t *Transfers) hasCapacity(total uint64) bool {
	if total == 0 || total > MaxMessage {
		return false
	}
	count, reserved := 1, int(total)
	for _, in := range t.incoming {
		if !in.complete {
			count++
			reserved += in.total
		}
	}
	return count <= maxIncoming && reserved <= maxIncomingBytes
}

// dropStalled ends the transfer without progress for longest, if that is longer than stallTimeout:
// its sender may have ended it. It reports whether it ended one.
func (t *Transfers) dropStalled(now core.Time) bool {
	var slowest incomingKey
	slowestProgressAt := now - stallTimeout
	for key, in := range t.incoming {
		if in.complete {
			continue
		}
		isTie := in.progressAt == slowestProgressAt
		if in.progressAt < slowestProgressAt || isTie && slowest.sender != "" && key.less(slowest) {
			slowest, slowestProgressAt = key, in.progressAt
		}
	}
	if slowest.sender == "" {
		return false
	}
	delete(t.incoming, slowest)
	return true
}

// deliver hands the message to the node. The entry stays until it expires, so that fragments that
// come again are acknowledged and don't begin a new transfer.
func (t *Transfers) deliver(from core.Peer, in *incoming) {
	message := new(nodepb.Envelope)
	err := proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(in.data, message)
	in.data = nil
	if err != nil {
		t.outbox.Add(core.Log{
			Message: "transfer: fragments are no message",
			Fields:  []any{"bytes", in.total, "error", err},
		})
		return
	}
	t.outbox.Add(core.MessageReassembled{From: from, Message: message})
}

// expireIncoming removes transfers without progress, and complete ones, after transferTimeout.
func (t *Transfers) expireIncoming(now core.Time) {
	for key, in := range t.incoming {
		if now-in.progressAt >= transferTimeout {
			delete(t.incoming, key)
		}
	}
}
