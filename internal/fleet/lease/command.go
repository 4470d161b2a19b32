package lease

import "encoding/json"

// CommandKind says what a command does. Its values are stored in the log.
type CommandKind string

// The kinds of commands.
const (
	// CommandGrant makes Target the holder of a role that nobody holds.
	CommandGrant CommandKind = "grant"
	// CommandExpire ends the lease of Token, which has run out.
	CommandExpire CommandKind = "expire"
	// CommandRelease is the holder's own release.
	CommandRelease CommandKind = "release"
	// CommandProgress stores the holder's Progress.
	CommandProgress CommandKind = "progress"
	// CommandTransfer reserves the role for Target; with an empty Target it is open to all again.
	CommandTransfer CommandKind = "move"
	// CommandRevoke is an operator's: the role is taken from its holder at once.
	CommandRevoke CommandKind = "force"
	// CommandDefine makes a role known.
	CommandDefine CommandKind = "define"
	// CommandForgive takes a failure back: Target, whose lease of Token ran out, is there again.
	CommandForgive CommandKind = "spare"
	// CommandNameVoter records that the voter id in Token belongs to the voter named Target.
	CommandNameVoter CommandKind = "seat"
)

// Command is one entry of the replicated log.
type Command struct {
	Kind        CommandKind `json:"kind"`
	Role        string      `json:"duty"`
	Token       uint64      `json:"token,omitempty"` // the latest that the proposer has seen
	Target      string      `json:"to,omitempty"`    // an instance, or a voter's name
	Progress    []byte      `json:"data,omitempty"`
	ID          string      `json:"id,omitempty"`   // set by the replica that waits for the result
	ProgressSeq uint64      `json:"word,omitempty"` // rises under a token
}

// Encode returns the command's bytes for the log.
func (c Command) Encode() []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(err) // a struct of strings, numbers and bytes always marshals
	}
	return encoded
}

// validSize tells whether a command keeps the bounds on names and progress.
func (c Command) validSize() bool {
	return len(c.Role) > 0 && len(c.Role) <= maxRoleNameBytes &&
		len(c.Target) <= maxInstanceNameBytes && len(c.Progress) <= maxProgressBytes
}

// Result is the outcome of an applied command.
type Result struct {
	CommandID string
	Index     uint64 // in the log; 0 where the command's fate is not known
	OK        bool
	Reason    string // why it was rejected
	Role      Role   // as it stands after the command
}

// Reasons that callers tell apart.
const (
	// ReasonStaleToken rejects a command whose token has been superseded.
	ReasonStaleToken = "the token is not the latest"
	// ReasonStaleProgress rejects progress that arrived after later progress of the same holder.
	ReasonStaleProgress = "a later word of the owner's is there"
)
