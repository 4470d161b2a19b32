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
	total    int
	data     []byte // without a gap; nil once it was delivered
	whole    bool
	progress core.Time
}

func (i *incoming) received() int {
	if i.whole {
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
		if !t.hasRoom(fragment.GetTotal()) {
			return
		}
		i = &incoming{total: int(fragment.GetTotal()), progress: now}
		t.incoming[key] = i
	}
	fits := len(fragment.GetData()) <= i.total-i.received()
	if fragment.GetOffset() == uint64(i.received()) && fits && !i.whole {
		i.data = append(i.data, fragment.GetData()...)
		i.progress = now
	}
	i.whole = i.whole || len(i.data) == i.total
	ack := &nodepb.FragmentAck{Transfer: key.id, Received: uint64(i.received())}
	t.send(from.Address, &nodepb.Envelope{Body: &nodepb.Envelope_FragmentAck{FragmentAck: ack}})
	if i.whole && i.data != nil {
		t.deliver(from, i)
	}
}

// hasRoom reports whether another transfer of that size may come in.
func (t *Transfers) hasRoom(total uint64) bool {
	if total == 0 || total > MaxMessage || len(t.incoming) >= maxIncoming {
		return false
	}
	held := int(total)
	for _, i := range t.incoming {
		if !i.whole {
			held += i.total
		}
	}
	return held <= maxIncomingBytes
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
	t.output(core.Received{From: from, Message: message})
}

// expireIncoming forgets transfers that make no progress any more, and those that are over.
func (t *Transfers) expireIncoming(now core.Time) {
	for key, i := range t.incoming {
		if now-i.progress >= giveUpAfter {
			delete(t.incoming, key)
		}
	}
}
