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

// journalState is what the journal holds.
type journalState struct {
	founders      []string
	view          *nodepb.View
	acceptor      *nodepb.AcceptorRecord
	wedgedEpoch   uint64
	caughtUpEpoch uint64
	committed     position
	pending       *nodepb.Entry
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
func replayJournal(records []core.Record, machine StateMachine) (*journalState, error) {
	state := &journalState{}
	for i, record := range records {
		if err := state.apply(record, machine); err != nil {
			return nil, fmt.Errorf("record %d of kind %d: %w", i, record.Kind, err)
		}
	}
	return state, nil
}

func (j *journalState) apply(record core.Record, machine StateMachine) error {
	switch record.Kind {
	case kindFounding:
		message := &nodepb.FoundingRecord{}
		err := proto.Unmarshal(record.Data, message)
		j.founders = message.GetFounders()
		return err
	case kindView:
		j.view = &nodepb.View{}
		return proto.Unmarshal(record.Data, j.view)
	case kindAcceptor:
		j.acceptor = &nodepb.AcceptorRecord{}
		return proto.Unmarshal(record.Data, j.acceptor)
	case kindWedge:
		message := &nodepb.WedgeRecord{}
		err := proto.Unmarshal(record.Data, message)
		j.wedgedEpoch = message.GetEpoch()
		return err
	case kindCaughtUp:
		message := &nodepb.CaughtUpRecord{}
		err := proto.Unmarshal(record.Data, message)
		j.caughtUpEpoch = message.GetEpoch()
		return err
	case kindState:
		return j.applyState(record.Data, machine)
	case kindEntry:
		return j.applyEntry(record.Data, machine)
	case kindDiscard:
		return j.applyDrop(record.Data)
	default:
		return fmt.Errorf("unknown kind")
	}
}

func (j *journalState) applyState(data []byte, machine StateMachine) error {
	message := &nodepb.StateRecord{}
	if err := proto.Unmarshal(data, message); err != nil {
		return err
	}
	j.committed = position{index: message.GetIndex(), epoch: message.GetEpoch()}
	j.pending = nil
	return machine.Restore(message.GetState())
}

// applyEntry commits the entry before: the next one is written only once that was committed.
func (j *journalState) applyEntry(data []byte, machine StateMachine) error {
	entry := &nodepb.Entry{}
	if err := proto.Unmarshal(data, entry); err != nil {
		return err
	}
	if entry.GetIndex() <= j.committed.index {
		return nil
	}
	if j.pending != nil && j.pending.GetIndex()+1 == entry.GetIndex() {
		machine.Apply(j.pending)
		j.committed = positionOf(j.pending)
	}
	if entry.GetIndex() != j.committed.index+1 {
		return fmt.Errorf("entry %d follows state %d", entry.GetIndex(), j.committed.index)
	}
	j.pending = entry
	return nil
}

func (j *journalState) applyDrop(data []byte) error {
	message := &nodepb.DropRecord{}
	if err := proto.Unmarshal(data, message); err != nil {
		return err
	}
	discarded := position{index: message.GetIndex(), epoch: message.GetEpoch()}
	if j.pending != nil && positionOf(j.pending) == discarded {
		j.pending = nil
	}
	return nil
}

// checkpoint lists everything that must survive.
func (r *Replica) checkpoint() []core.Record {
	var records []core.Record
	if r.view == nil && len(r.founders) > 0 {
		records = append(records, encode(kindFounding, &nodepb.FoundingRecord{Founders: r.founders}))
	}
	if r.view != nil {
		records = append(records, encode(kindView, r.view))
	}
	if !r.acceptor.Blank() {
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
