package lease

import "encoding/json"

// CommandKind identifies what a command does. Its values are stored in the log.
type CommandKind string

// Kinds of commands.
const (
	// CommandGrant makes Target the holder of a role that nobody holds.
	CommandGrant CommandKind = "grant"
	// CommandExpire ends the grant of Token after its lease has expired.
	CommandExpire CommandKind = "expire"
	// CommandRelease ends the grant of Token at the request of its holder.
	CommandRelease CommandKind = "release"
	// CommandProgress stores the Progress that the holder reports.
	CommandProgress CommandKind = "progress"
	// CommandTransfer reserves the role for Target. An empty Target lifts the reservation.
	CommandTransfer CommandKind = "move"
	// CommandRevoke takes the role from its holder at once, at an operator's request, and reserves
	// it for Target if one is given.
	CommandRevoke CommandKind = "force"
	// CommandDefine creates a role that nobody holds yet.
	CommandDefine CommandKind = "define"
	// CommandForgive undoes the failure that was counted when the lease of Token expired, because
	// its holder Target is sending requests again.
	CommandForgive CommandKind = "spare"
	// CommandNameVoter records that the voter id given in Token belongs to the voter named Target.
	CommandNameVoter CommandKind = "seat"
)

// Command is one entry of the replicated log.
type Command struct {
	Kind        CommandKind `json:"kind"`
	Role        string      `json:"duty"`
	Token       uint64      `json:"token,omitempty"` // the role's latest token known to the proposer
	Target      string      `json:"to,omitempty"`    // an instance, or a voter's name
	Progress    []byte      `json:"data,omitempty"`
	ID          string      `json:"id,omitempty"`   // set by the replica that waits for the result
	ProgressSeq uint64      `json:"word,omitempty"` // sequence number of Progress, increasing under one token
}

// Encode returns the encoding of the command that is stored in the log.
func (c Command) Encode() []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(err) // a struct of strings, numbers and bytes always marshals
	}
	return encoded
}

// validSize reports whether the command's names and progress are within their size limits.
func (c Command) validSize() bool {
	return len(c.Role) > 0 && len(c.Role) <= maxRoleNameBytes &&
		len(c.Target) <= maxInstanceNameBytes && len(c.Progress) <= maxProgressBytes
}

// Result is the outcome of an applied command.
type Result struct {
	CommandID string
	Index     uint64 // index in the log; 0 if it is unknown whether the command was committed
	OK        bool   // whether the command was accepted
	Reason    string // why the command was rejected
	Role      Role   // the role after the command
}

// Reasons for a rejection that callers distinguish.
const (
	// ReasonStaleToken rejects a command whose token is not the role's latest.
	ReasonStaleToken = "the token is not the latest"
	// ReasonStaleProgress rejects progress that is older than the stored progress of the same grant.
	ReasonStaleProgress = "a later word of the owner's is there"
)
