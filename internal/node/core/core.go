// Package core is the contract between a node's state machines and the shells that run them.
//
// A state machine does no I/O, starts no goroutine and reads no clock: every method takes the
// monotonic time since the start of the process, and returns a list of outputs, the effects that
// its shell is to carry out in that order. The same machine therefore runs in the program, in table
// tests, under a virtual clock with injected faults, and many to one process in simulations.
//
// The package holds the types that several machines and shells share. It holds no logic but
// the conversion of time spans on the wire and the collecting of outputs. It isn't the place for
// messages between nodes (nodepb) nor for types that one subsystem alone uses.
//
// Invariants: an output is a value that its emitter doesn't change afterwards; an output that
// expects a result carries a token, and the shell reports the result once under the same token.
package core

import (
	"time"

	"kestrelspread/internal/node/nodepb"
)

// Time is the monotonic time since the process started.
type Time = time.Duration

// Never is the deadline of a machine that waits for nothing but input.
const Never Time = 1<<63 - 1

// Peer is the sender of a message: a process of a node, whose id is a new one at every start, and
// where replies to it go.
type Peer struct {
	NodeID  string
	Address string // internal address, IP:port
	Via     string // internal address of the relay that forwarded the message; empty: it came directly
}

// Output is one effect that a state machine asks its shell for, or one event that it reports to it.
type Output interface{ isOutput() }

// Send asks for a message to be sent at most once; it may be lost. The shell fills in the sender.
type Send struct {
	Destination string // internal address, IP:port
	Via         string // internal address of a relay; empty: the shell chooses the route
	Message     *nodepb.Envelope
}

// MessageReassembled reports a message of another node that arrived in fragments and is now
// complete.
type MessageReassembled struct {
	From    Peer
	Message *nodepb.Envelope
}

// Record is one durable record of the journal.
type Record struct {
	Kind uint8 // as the machine that writes it numbers them
	Data []byte
}

// Write asks for records to be made durable, in the order of the Writes. The shell reports the
// result by the machine's Written method with the same token. A Checkpoint replaces all records
// written before it.
type Write struct {
	Token      uint64
	Records    []Record
	Checkpoint bool
}

// Log asks for a line in the log.
type Log struct {
	Message string
	Fields  []any // key-value pairs, as log/slog takes them
}

func (Send) isOutput()               {}
func (MessageReassembled) isOutput() {}
func (Write) isOutput()              {}
func (Log) isOutput()                {}
