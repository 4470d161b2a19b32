// Package core states the contract between a node's state machines and the shells that run them.
//
// A state machine does no I/O, starts no goroutine and reads no clock: every method takes the steady time since the
// start of the process, and returns what is to be sent, written and answered. The same machine therefore runs in the
// program, in table tests, under a virtual clock with faults, and many to one process in the scale run.
package core

import (
	"time"

	"kestrelspread/internal/node/nodepb"
)

// Time is the steady time since the process started.
type Time = time.Duration

// Never is a deadline that does not come.
const Never Time = 1<<63 - 1

// Peer is the sender of a message: a node in one of its lives, and where answers to it go.
type Peer struct {
	NodeID  string
	Address string
	Via     string // internal address of the relay that brought the message; empty: it came directly
}

// Output is one effect that a state machine asks its shell for.
type Output interface{ isOutput() }

// Send asks for a message to be sent, at most once; it may be lost. The shell fills in the sender.
type Send struct {
	Destination string // internal address
	Via         string // internal address of a relay; empty: the shell chooses the way
	Message     *nodepb.Envelope
}

// MessageReassembled tells of a message of another node that came in parts.
type MessageReassembled struct {
	From    Peer
	Message *nodepb.Envelope
}

// Record is one durable record of the journal.
type Record struct {
	Kind uint8
	Data []byte
}

// Write asks for records to be made durable in the order of the Writes. The shell reports the end of it by the
// machine's Written method with the same token. A Checkpoint replaces all that was written before it.
type Write struct {
	Token      uint64
	Records    []Record
	Checkpoint bool
}

// Reply answers a request that came from this node's own API.
type Reply struct {
	Request uint64
	Result  *nodepb.CommandResult
	State   *nodepb.StateSnapshot // for reads
}

// Committed tells that an entry of the control state is committed and applied. Entries come in the order of their index.
type Committed struct {
	Entry  *nodepb.Entry
	Result *nodepb.CommandResult
}

// Installed tells that the control state was replaced by a newer committed one, as a whole.
type Installed struct {
	Snapshot *nodepb.StateSnapshot
}

// Log asks for a line in the log.
type Log struct {
	Message string
	Fields  []any // as log/slog takes them
}

func (Send) isOutput()               {}
func (MessageReassembled) isOutput() {}
func (Write) isOutput()              {}
func (Reply) isOutput()              {}
func (Committed) isOutput()          {}
func (Installed) isOutput()          {}
func (Log) isOutput()                {}
