package chain

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// The kinds of records in the journal, stored as numbers. The last record of a kind counts, except
// that entries and states follow one another.
const (
	kindFounding uint8 = iota + 1 // FoundingRecord
	kindView                      // View that was decided
	kindAcceptor                  // AcceptorRecord
	kindWedge                     // WedgeRecord
	kindState                     // StateRecord: replaces all entries before it
	kindEntry                     // Entry: replaces the pending one, or shows that the one before is committed
	kindDiscard                   // DropRecord: the pending entry was never acknowledged
	kindCaughtUp                  // CaughtUpRecord
)

// position names an entry; the zero position is that of the empty state.
type position struct {
	index uint64
	epoch uint64
}

func positionOf(entry *nodepb.Entry) position {
	return position{index: entry.GetIndex(), epoch: entry.GetEpoch()}
}

// encode makes a record of a message. It panics where the message can't be encoded, which messages
// of this schema always can.
func encode(kind uint8, message proto.Message) core.Record {
	data, err := proto.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("record of kind %d: %v", kind, err))
	}
	return core.Record{Kind: kind, Data: data}
}

// checkpoint lists the records of everything that must survive.
func (r *Replica) checkpoint() []core.Record {
	var records []core.Record
	if r.view == nil && len(r.founders) > 0 {
		records = append(records, encode(kindFounding, &nodepb.FoundingRecord{Founders: r.founders}))
	}
	if r.view != nil {
		records = append(records, encode(kindView, r.view))
	}
	if !r.acceptor.IsEmpty() {
		records = append(records, encode(kindAcceptor, r.acceptor.Record()))
	}
	if r.wedged {
		records = append(records, encode(kindWedge, &nodepb.WedgeRecord{Epoch: r.view.GetEpoch()}))
	}
	if r.caughtUpEpoch > 0 {
		records = append(records, encode(kindCaughtUp, &nodepb.CaughtUpRecord{Epoch: r.caughtUpEpoch}))
	}
	records = append(records, encode(kindState, r.stateRecord()))
	if r.pending != nil {
		records = append(records, encode(kindEntry, r.pending))
	}
	return records
}

func (r *Replica) stateRecord() *nodepb.StateRecord {
	return &nodepb.StateRecord{
		Index: r.committed.index,
		Epoch: r.committed.epoch,
		State: r.options.StateMachine.Snapshot(),
	}
}
