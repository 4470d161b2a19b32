package chain_test

import (
	"encoding/json"

	"kestrelspread/internal/node/nodepb"
)

// register is a small versioned state: a change names the version it builds on, as configurations
// do.
type register struct {
	state   registerState
	applied func(entry *nodepb.Entry)
}

type registerState struct {
	Index   uint64
	Version uint64
	Taken   map[string]uint64 // version by command id
}

func newRegister() *register {
	return &register{state: registerState{Taken: map[string]uint64{}}}
}

func (r *register) Check(command *nodepb.Command) (*nodepb.CommandResult, bool) {
	change := command.GetConfigChange()
	if version, taken := r.state.Taken[command.GetId()]; taken {
		return &nodepb.CommandResult{Code: nodepb.ResultCode_TAKEN, Version: version}, false
	}
	if change.GetBaseVersion() != r.state.Version {
		return &nodepb.CommandResult{Code: nodepb.ResultCode_CONFLICT, Version: r.state.Version}, false
	}
	if change.GetVersion() <= change.GetBaseVersion() {
		return &nodepb.CommandResult{Code: nodepb.ResultCode_INVALID}, false
	}
	return nil, true
}

func (r *register) Apply(entry *nodepb.Entry) *nodepb.CommandResult {
	result, take := r.Check(entry.GetCommand())
	if !take {
		return result
	}
	version := entry.GetCommand().GetConfigChange().GetVersion()
	r.state.Index = entry.GetIndex()
	r.state.Version = version
	r.state.Taken[entry.GetCommand().GetId()] = version
	if r.applied != nil {
		r.applied(entry)
	}
	return &nodepb.CommandResult{Code: nodepb.ResultCode_TAKEN, Version: version}
}

func (r *register) Snapshot() []byte {
	data, err := json.Marshal(r.state)
	if err != nil {
		panic(err)
	}
	return data
}

func (r *register) Restore(snapshot []byte) error {
	state, err := decodeRegister(snapshot)
	if err == nil {
		r.state = state
	}
	return err
}

func decodeRegister(snapshot []byte) (registerState, error) {
	state := registerState{}
	err := json.Unmarshal(snapshot, &state)
	return state, err
}
