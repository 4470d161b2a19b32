// Package config holds the operators' configuration: its form, its checks, the state that the control chain replicates
// and the compiled table that proxies look requests up in. Pure: no I/O, no clock, no goroutines; a State belongs to one
// goroutine, what Compile returns may be shared.
//
// The contract with the other planes:
//
//	state := config.NewState(checker)              // empty: version 0; a nil checker checks no schema
//	result, entryNeeded := state.Check(command)    // at the chain's head, before a command becomes an entry
//	result := state.Apply(entry)                   // at every node, in order of index; deterministic
//	bytes := state.Snapshot(); err := state.Restore(bytes)
//	compiled := state.Compile()                    // immutable, shared with the data plane
//
// Check judges a command in full: whether it can be read, its version and base, the rules between items (package
// schema adds the CUE rules of single items). Apply repeats only what every replica has to decide alike: form, base and
// version. It never runs the checks between items, so that a node with newer checks agrees with one with older ones.
//
// Every item (route, service, tenant) is kept as it was sent, numbers and unknown fields included, and decoded once;
// versions of the configuration share the items that did not change.
package config
