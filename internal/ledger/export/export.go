// Package export brings the ledger's entries to a sink, each exactly once, through crashes of either side, lost replies and
// replies that come twice. It is the protocol alone, pure: what is durable, and when, is in its steps; the model in its test
// tries every interleaving of them.
//
// A batch is a range of entries that is fixed before it is first offered, durably (the intent): asked again after a crash the
// sink is offered the very same range under the same number, and can tell that it has it. Only what the sink has said it holds,
// by number and hash, moves the cursor. So:
//
//	step            durable then                                 a crash before the next step leads to
//	1 intent        batch n is entries a to b, with their hash   step 2, with the same batch
//	2 put           (sink) batch n, once, whatever comes again   step 2 again: the sink has it and says so
//	3 cursor        entries up to b have left; no intent         step 1 of batch n+1
package export

import "fmt"

// Intent is a batch that was fixed.
type Intent struct {
	Batch uint64 `json:"Batch"` // from 1
	From  uint64 `json:"From"`  // the first entry
	To    uint64 `json:"To"`    // the last entry
	Hash  uint64 `json:"Hash"`  // of them
}

// Cursor is how far a sink has the entries, in how many batches.
type Cursor struct {
	Seq   uint64 `json:"Seq"`
	Batch uint64 `json:"Batch"`
}

// Kind of a step.
type Kind uint8

// What has to be done next.
const (
	Nothing    Kind = iota
	SaveIntent      // make Intent durable, then tell Saved
	Put             // offer Intent's entries to the sink, then tell Answer, if an answer comes
	SaveCursor      // make Cursor durable and the intent gone, in one write, then tell Saved
)

// Step is what is to be done next.
type Step struct {
	Kind   Kind
	Intent Intent
	Cursor Cursor
}

// Machine is the state of one sink.
type Machine struct {
	cursor  Cursor
	intent  *Intent
	durable bool // the intent is
	held    bool // the sink has said so
	Refused int64
}

// New goes on from what is durable.
func New(c Cursor, i *Intent) *Machine { return &Machine{cursor: c, intent: i, durable: i != nil} }

// Cursor is the one that is durable.
func (m *Machine) Cursor() Cursor { return m.cursor }

// Next says what to do. last is the latest durable entry; most bounds a batch; hash gives that of a range. Asked again it says
// the same until something was told: a put whose answer was lost is done again.
func (m *Machine) Next(last uint64, most int, hash func(from, to uint64) uint64) Step {
	switch {
	case m.intent == nil && last <= m.cursor.Seq:
		return Step{}
	case m.intent == nil:
		from := m.cursor.Seq + 1
		to := min(last, m.cursor.Seq+uint64(max(most, 1)))
		m.intent, m.durable = &Intent{m.cursor.Batch + 1, from, to, hash(from, to)}, plantEarly
	}
	switch {
	case !m.durable:
		return Step{Kind: SaveIntent, Intent: *m.intent}
	case !m.held && !plantCursor:
		return Step{Kind: Put, Intent: *m.intent}
	}
	return Step{Kind: SaveCursor, Intent: *m.intent, Cursor: Cursor{m.intent.To, m.intent.Batch}}
}

// Saved tells that what Next asked for is durable.
func (m *Machine) Saved(s Step) {
	switch {
	case m.intent == nil || s.Intent != *m.intent:
	case s.Kind == SaveIntent:
		m.durable = true
	case s.Kind == SaveCursor:
		m.cursor, m.intent, m.durable, m.held = s.Cursor, nil, false, false
	}
}

// Answer is what a sink says: that it holds a batch with a hash. One about another batch, an older one say, proves nothing of
// this one. One about this batch with another hash is an error: the sink has something else under its number.
func (m *Machine) Answer(batch, hash uint64) error {
	if m.intent == nil || !m.durable || batch != m.intent.Batch {
		m.Refused++
		return nil
	}
	if hash != m.intent.Hash {
		m.Refused++
		return fmt.Errorf("the sink holds another batch %d: hash %x, ours is %x", batch, hash, m.intent.Hash)
	}
	m.held = true
	return nil
}
