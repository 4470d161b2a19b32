// Package export brings the ledger's entries to a sink, each exactly once, through crashes of either side, lost replies and
// duplicated ones. It is the protocol alone, pure: what is durable, and when, is in its steps; the model in its test tries
// every interleaving of them.
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
	Sequence uint64 `json:"Seq"`
	Batch    uint64 `json:"Batch"`
}

// StepKind is what a step does.
type StepKind uint8

// The kinds of steps.
const (
	Idle       StepKind = iota // all durable entries have left
	SaveIntent                 // make Intent durable, then call HandleSaved
	Put                        // offer Intent's entries to the sink, then call HandleAnswer, if an answer comes
	SaveCursor                 // make Cursor durable and the intent gone, in one write, then call HandleSaved
)

// Step is what is to be done next.
type Step struct {
	Kind   StepKind
	Intent Intent
	Cursor Cursor
}

// Machine is the state of one sink.
type Machine struct {
	cursor          Cursor
	intent          *Intent
	intentDurable   bool
	delivered       bool // the sink has answered that it holds the intent's batch
	RejectedAnswers int64
}

// New continues from what is durable.
func New(cursor Cursor, intent *Intent) *Machine {
	return &Machine{cursor: cursor, intent: intent, intentDurable: intent != nil}
}

// Cursor returns the durable cursor.
func (m *Machine) Cursor() Cursor { return m.cursor }

// Next returns what to do. last is the latest durable entry; maxEntries bounds a batch; hash returns that of a range. Asked
// again it returns the same step until it was handled: a put whose answer was lost is done again.
func (m *Machine) Next(last uint64, maxEntries int, hash func(from, to uint64) uint64) Step {
	if m.intent == nil {
		if last <= m.cursor.Sequence {
			return Step{Kind: Idle}
		}
		from := m.cursor.Sequence + 1
		to := min(last, m.cursor.Sequence+uint64(max(maxEntries, 1)))
		m.intent = &Intent{Batch: m.cursor.Batch + 1, From: from, To: to, Hash: hash(from, to)}
		m.intentDurable = mutantEarlyPut
	}
	switch {
	case !m.intentDurable:
		return Step{Kind: SaveIntent, Intent: *m.intent}
	case !m.delivered && !mutantEarlyCursor:
		return Step{Kind: Put, Intent: *m.intent}
	}
	return Step{Kind: SaveCursor, Intent: *m.intent, Cursor: Cursor{Sequence: m.intent.To, Batch: m.intent.Batch}}
}

// HandleSaved takes that a step's write is durable. A step of another intent changes nothing.
func (m *Machine) HandleSaved(s Step) {
	if m.intent == nil || s.Intent != *m.intent {
		return
	}
	switch s.Kind {
	case SaveIntent:
		m.intentDurable = true
	case SaveCursor:
		m.cursor = s.Cursor
		m.intent = nil
		m.intentDurable = false
		m.delivered = false
	}
}

// HandleAnswer takes a sink's answer: that it holds a batch with a hash. One about another batch, an older one say, proves
// nothing of this one. One about this batch with another hash is an error: the sink has something else under its number.
func (m *Machine) HandleAnswer(batch, hash uint64) error {
	if m.intent == nil || !m.intentDurable || batch != m.intent.Batch {
		m.RejectedAnswers++
		return nil
	}
	if hash != m.intent.Hash {
		m.RejectedAnswers++
		return fmt.Errorf("the sink holds another batch %d: hash %x, ours is %x", batch, hash, m.intent.Hash)
	}
	m.delivered = true
	return nil
}
