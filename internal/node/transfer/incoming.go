package transfer

import (
	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// incomingKey names a transfer: its number is the sender's, in one life.
type incomingKey struct {
	sender string
	id     uint64
}

// incoming is a message that is on its way to this node, or that has come whole.
type incoming struct {
	total      int
	data       []byte         // without a gap; nil once it was delivered
	outOfOrder map[int][]byte // fragments behind a gap, by offset: at most a window of them
	complete   bool
	progressAt core.Time
}

func (i *incoming) receivedBytes() int {
	if i.complete {
		return i.total
	}
	return len(i.data)
}

// receiveFragment takes the fragment that follows what is here, and says how far the transfer has come. Fragments of a
// transfer for which there is no room get no acknowledgement.
func (t *Transfers) receiveFragment(now core.Time, from core.Peer, fragment *nodepb.Fragment) {
	key := incomingKey{sender: from.NodeID, id: fragment.GetTransfer()}
	i := t.incoming[key]
	if i == nil {
		if !t.hasCapacity(fragment.GetTotal()) && (!t.dropStalled(now) || !t.hasCapacity(fragment.GetTotal())) {
			return
		}
		i = &incoming{total: int(fragment.GetTotal()), progressAt: now}
		t.incoming[key] = i
	}
	if !i.complete {
		i.add(now, fragment.GetOffset(), fragment.GetData())
	}
	ack := &nodepb.FragmentAck{Transfer: key.id, Received: uint64(i.receivedBytes())}
	t.send(from.Address, &nodepb.Envelope{Body: &nodepb.Envelope_FragmentAck{FragmentAck: ack}})
	if i.complete && i.data != nil {
		t.deliver(from, i)
	}
}

// add takes a fragment, and those that came before it though they follow it.
func (i *incoming) add(now core.Time, offset uint64, data []byte) {
	if offset > uint64(i.total) || len(data) > i.total-int(offset) || len(data) == 0 {
		return
	}
	at := int(offset)
	if at > len(i.data) && at <= len(i.data)+windowBytes && len(i.outOfOrder) < windowBytes/fragmentBytes {
		if i.outOfOrder == nil {
			i.outOfOrder = map[int][]byte{}
		}
		i.outOfOrder[at] = data
		return
	}
	for next := data; at == len(i.data) && len(next) > 0; next = i.outOfOrder[at] {
		i.data = append(i.data, next...)
		i.progressAt = now
		delete(i.outOfOrder, at)
		at = len(i.data)
	}
	if len(i.data) == i.total {
		i.complete, i.outOfOrder = true, nil
	}
}

// hasCapacity reports whether another transfer of that size may come in. Those that are over hold nothing.
func (t *Transfers) hasCapacity(total uint64) bool {
	if total == 0 || total > MaxMessage {
		return false
	}
	count, reserved := 1, int(total)
	for _, i := range t.incoming {
		if !i.complete {
			count++
			reserved += i.total
		}
	}
	return count <= maxIncoming && reserved <= maxIncomingBytes
}

// dropStalled ends the transfer that made no progress for longest, if that is long enough: its sender may have given it up.
func (t *Transfers) dropStalled(now core.Time) bool {
	var slowest incomingKey
	progress := now - stallTimeout
	for key, i := range t.incoming {
		if !i.complete && (i.progressAt < progress || i.progressAt == progress && key.id < slowest.id) {
			slowest, progress = key, i.progressAt
		}
	}
	if slowest.sender == "" {
		return false
	}
	delete(t.incoming, slowest)
	return true
}

// deliver hands the message to the node. What is kept of the transfer says that it is over.
func (t *Transfers) deliver(from core.Peer, i *incoming) {
	message := new(nodepb.Envelope)
	err := proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(i.data, message)
	i.data = nil
	if err != nil {
		t.output(core.Log{Message: "fragments hold no message", Fields: []any{"bytes", i.total, "error", err}})
		return
	}
	t.output(core.MessageReassembled{From: from, Message: message})
}

// expireIncoming forgets transfers that make no progress any more, and those that are over.
func (t *Transfers) expireIncoming(now core.Time) {
	for key, i := range t.incoming {
		if now-i.progressAt >= transferTimeout {
			delete(t.incoming, key)
		}
	}
}
