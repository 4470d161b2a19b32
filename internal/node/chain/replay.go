package chain

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// errUnknownKind is the error of a record that this package did not write.
var errUnknownKind = errors.New("unknown kind of record")

// journalState is what the records of the journal amount to.
type journalState struct {
	founders      []string
	view          *nodepb.View
	acceptor      *nodepb.AcceptorRecord
	wedgedEpoch   uint64
	caughtUpEpoch uint64
	committed     position
	pending       *nodepb.Entry
}

// replayJournal applies the records in their order, and brings the state machine to the committed
// state.
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
		return j.applyDiscard(record.Data)
	default:
		return errUnknownKind
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

// applyEntry commits the previous entry: the next one is written only once that is committed.
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

func (j *journalState) applyDiscard(data []byte) error {
	message := &nodepb.DiscardRecord{}
	if err := proto.Unmarshal(data, message); err != nil {
		return err
	}
	discarded := position{index: message.GetIndex(), epoch: message.GetEpoch()}
	if j.pending != nil && positionOf(j.pending) == discarded {
		j.pending = nil
	}
	return nil
}
