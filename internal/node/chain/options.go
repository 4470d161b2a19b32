package chain

import "kestrelspread/internal/node/nodepb"

// StateMachine is the control state that is replicated. It must be deterministic.
type StateMachine interface {
	// Check judges, at the head, a command against the committed state. accept: the command is to
	// become an entry; else the result is final: accepted before, in conflict with what was
	// accepted, or invalid.
	Check(command *nodepb.Command) (result *nodepb.CommandResult, accept bool)
	// Apply applies a committed entry. Entries come in the order of their index, each once.
	Apply(entry *nodepb.Entry) *nodepb.CommandResult
	// Snapshot returns the complete state, encoded.
	Snapshot() []byte
	// Restore replaces the complete state by a snapshot. On an error the state is unchanged.
	Restore(snapshot []byte) error
}

// Options of a Replica.
type Options struct {
	// Self names this node's disk, internal address and incarnation. A node without a disk id is no
	// voter; it only takes part in the agreement on the first view, where it is a founder.
	Self *nodepb.Voter
	// FounderAddresses are the internal addresses of the seeds; they are used where Founding alone.
	FounderAddresses []string
	// Founding: this is the first start of the system. A start after one that was interrupted is
	// recognized by the journal.
	Founding bool
	// Tolerance is how many machines may be lost at once: faultTolerance.machines.
	Tolerance int
	// StateMachine is the state that is replicated, as it is before the first entry.
	StateMachine StateMachine
}
