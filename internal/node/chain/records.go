package chain

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// The kinds of records in the journal. The last one of a kind counts, except that entries and states follow one another.
const (
	kindFounding uint8 = iota + 1 // FoundingRecord
	kindView                      // View that was decided
	kindAcceptor                  // AcceptorRecord
	kindWedge                     // WedgeRecord
	kindState                     // StateRecord: replaces all entries before it
	kindEntry                     // Entry: replaces the pending one, or shows that the one before is committed
	kindDrop                      // DropRecord: the pending entry was never acknowledged
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

// recovered is what the journal holds.
type recovered struct {
	founders  []string
	view      *nodepb.View
	acceptor  *nodepb.AcceptorRecord
	wedged    uint64
	caughtUp  uint64
	committed position
	pending   *nodepb.Entry
}

// encode makes a record of a message. Messages of this schema can always be encoded.
func encode(kind uint8, message proto.Message) core.Record {
	data, err := proto.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("record of kind %d: %v", kind, err))
	}
	return core.Record{Kind: kind, Data: data}
}

// recover reads the records in their order, and brings the machine to the committed state.
func recoverRecords(records []core.Record, machine StateMachine) (*recovered, error) {
	r := &recovered{}
	for i, record := range records {
		if err := r.take(record, machine); err != nil {
			return nil, fmt.Errorf("record %d of kind %d: %w", i, record.Kind, err)
		}
	}
	return r, nil
}

func (r *recovered) take(record core.Record, machine StateMachine) error {
	switch record.Kind {
	case kindFounding:
		message := &nodepb.FoundingRecord{}
		err := proto.Unmarshal(record.Data, message)
		r.founders = message.GetFounders()
		return err
	case kindView:
		r.view = &nodepb.View{}
		return proto.Unmarshal(record.Data, r.view)
	case kindAcceptor:
		r.acceptor = &nodepb.AcceptorRecord{}
		return proto.Unmarshal(record.Data, r.acceptor)
	case kindWedge:
		message := &nodepb.WedgeRecord{}
		err := proto.Unmarshal(record.Data, message)
		r.wedged = message.GetEpoch()
		return err
	case kindCaughtUp:
		message := &nodepb.CaughtUpRecord{}
		err := proto.Unmarshal(record.Data, message)
		r.caughtUp = message.GetEpoch()
		return err
	case kindState:
		return r.takeState(record.Data, machine)
	case kindEntry:
		return r.takeEntry(record.Data, machine)
	case kindDrop:
		return r.takeDrop(record.Data)
	default:
		return fmt.Errorf("unknown kind")
	}
}

func (r *recovered) takeState(data []byte, machine StateMachine) error {
	message := &nodepb.StateRecord{}
	if err := proto.Unmarshal(data, message); err != nil {
		return err
	}
	r.committed = position{index: message.GetIndex(), epoch: message.GetEpoch()}
	r.pending = nil
	return machine.Restore(message.GetState())
}

// takeEntry commits the entry before: the next one is written only once that was committed.
func (r *recovered) takeEntry(data []byte, machine StateMachine) error {
	entry := &nodepb.Entry{}
	if err := proto.Unmarshal(data, entry); err != nil {
		return err
	}
	if entry.GetIndex() <= r.committed.index {
		return nil
	}
	if r.pending != nil && r.pending.GetIndex()+1 == entry.GetIndex() {
		machine.Apply(r.pending)
		r.committed = positionOf(r.pending)
	}
	if entry.GetIndex() != r.committed.index+1 {
		return fmt.Errorf("entry %d follows state %d", entry.GetIndex(), r.committed.index)
	}
	r.pending = entry
	return nil
}

func (r *recovered) takeDrop(data []byte) error {
	message := &nodepb.DropRecord{}
	if err := proto.Unmarshal(data, message); err != nil {
		return err
	}
	dropped := position{index: message.GetIndex(), epoch: message.GetEpoch()}
	if r.pending != nil && positionOf(r.pending) == dropped {
		r.pending = nil
	}
	return nil
}

// checkpoint lists everything that must survive.
func (s *Store) checkpoint() []core.Record {
	var records []core.Record
	if s.view == nil && len(s.founders) > 0 {
		records = append(records, encode(kindFounding, &nodepb.FoundingRecord{Founders: s.founders}))
	}
	if s.view != nil {
		records = append(records, encode(kindView, s.view))
	}
	if !s.acceptor.Blank() {
		records = append(records, encode(kindAcceptor, s.acceptor.Record()))
	}
	if s.wedged {
		records = append(records, encode(kindWedge, &nodepb.WedgeRecord{Epoch: s.view.GetEpoch()}))
	}
	if s.caughtUp > 0 {
		records = append(records, encode(kindCaughtUp, &nodepb.CaughtUpRecord{Epoch: s.caughtUp}))
	}
	records = append(records, encode(kindState, s.stateRecord()))
	if s.pending != nil {
		records = append(records, encode(kindEntry, s.pending))
	}
	return records
}

func (s *Store) stateRecord() *nodepb.StateRecord {
	return &nodepb.StateRecord{
		Index: s.committed.index,
		Epoch: s.committed.epoch,
		State: s.options.Machine.Snapshot(),
	}
}
