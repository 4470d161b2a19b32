// Package config is the replicated control state: the operators' configuration, versions of
// weights, grants of singleton roles and drain intents. It has the state machine that the control
// chain replicates, the checks of commands, snapshots, and the compiled form that the data plane
// reads.
//
// It does no I/O and knows no clock, and it does not replicate: package chain orders the entries.
// Its contract with the other packages:
//
//	state := config.NewState(checker)              // empty: version 0; a nil checker checks no schema
//	result, entryNeeded := state.Check(command)    // at the chain's head, before a command becomes an entry
//	result := state.Apply(entry)                   // at every node, in order of index; deterministic
//	bytes := state.Snapshot(); err := state.Restore(bytes)
//	compiled := state.Compile()                    // immutable, shared with the data plane
//
// Invariants:
//
//   - Apply is deterministic: equal states and entries give equal states and results at every replica. It repeats only
//     what all replicas decide alike: form, base version and version. The rules between items and the schema are
//     checked by Check alone, so that nodes with newer checks agree with those with older ones.
//   - Versions of the configuration and fences of a role only rise.
//   - A change that was taken stays taken: sent again, it is acknowledged without an effect, as long as it is among the
//     4,096 newest.
//   - Every item (route, service, tenant) is kept as it was sent, numbers and unknown fields included.
//   - Documents, items and compiled tables are immutable. Versions share the items that did not change.
package config
