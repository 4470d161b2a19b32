// Package config holds the operators' configuration: its form, its checks, the state that the control chain replicates
// and the compiled table that proxies look requests up in. Pure: no I/O, no clock.
//
// The contract with the other planes:
//
//	state := config.NewState()                     // empty: version 0
//	result, entryNeeded := state.Check(command)    // at the chain's head, before a command becomes an entry
//	result := state.Apply(entry)                   // at every node, in order of index; deterministic
//	bytes := state.Snapshot(); state.Restore(bytes)
//	compiled := state.Compile()                    // immutable, shared with the data plane
package config
