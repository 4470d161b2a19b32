package lease

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Role is a singleton role and its latest grant.
type Role struct {
	Name           string `json:"name"`
	Holder         string `json:"owner,omitempty"`  // incarnation of an instance; empty if nobody holds the role
	Token          uint64 `json:"token"`            // fencing token of the latest grant
	NextHolder     string `json:"next,omitempty"`   // instance that gets the role after its release; empty if any may
	Progress       []byte `json:"data,omitempty"`   // progress of the role's work, opaque to this package
	ProgressToken  uint64 `json:"written"`          // token under which Progress was written
	ProgressIndex  uint64 `json:"changed"`          // log index at which Progress was written
	ProgressSeq    uint64 `json:"word"`             // sequence number of Progress under its token
	HolderFailures int    `json:"deaths"`           // consecutive expired leases since progress was last stored
	Revoked        bool   `json:"forced,omitempty"` // an operator revoked the latest grant, so no backoff applies
}

// Event is an entry of the history of grants.
type Event struct {
	Index    uint64 `json:"index"` // log index of the command
	Role     string `json:"duty"`
	Kind     string `json:"what"`
	Instance string `json:"who,omitempty"`
	Token    uint64 `json:"token"`
}

// Kinds of events. They are stored and shown to operators.
const (
	eventGranted     = "granted"
	eventExpired     = "expired"
	eventReleased    = "released"
	eventRevoked     = "forced"
	eventForgiven    = "spared"
	eventTransferred = "to move"
)

// State is the replicated state machine. It depends on the applied commands alone: equal logs give
// states whose snapshots are equal byte for byte.
type State struct {
	NextToken    uint64            `json:"next"`    // token of the next grant
	VoterNames   map[uint64]string `json:"voters"`  // by voter id; a voter gets a new id with each new disk
	Roles        map[string]*Role  `json:"duties"`  // by name
	History      []Event           `json:"history"` // oldest first
	AppliedIndex uint64            `json:"index"`   // log index of the latest applied entry
}

// Limits on the size of the state, because a snapshot transfers all of it at once.
const (
	maxHistory           = 1000 // events
	maxRoles             = 200
	maxVoterNames        = 1000
	maxProgressBytes     = 16 << 10
	maxRoleNameBytes     = 128
	maxInstanceNameBytes = 256
)

// NewState returns a state without roles. The first grant gets token 1.
func NewState() *State {
	return &State{NextToken: 1, VoterNames: map[uint64]string{}, Roles: map[string]*Role{}}
}

// Apply applies one entry of the log. An empty entry, which raft appends after an election, changes
// nothing but AppliedIndex. Every voter rejects an entry that can't be decoded, so the replicas
// stay equal.
func (s *State) Apply(index uint64, encoded []byte) Result {
	s.AppliedIndex = index
	if len(encoded) == 0 {
		return Result{Index: index, OK: true}
	}
	var c Command
	if err := json.Unmarshal(encoded, &c); err != nil {
		return Result{Index: index, Reason: "no command"}
	}
	result := Result{CommandID: c.ID, Index: index}
	if c.Kind == CommandNameVoter {
		result.OK = s.nameVoter(c)
		return result
	}
	if !c.validSize() {
		result.Reason = "a name or data too long"
		return result
	}
	role := s.roleFor(c)
	if role == nil {
		result.Reason = "no such duty"
		return result
	}
	result.Reason = s.applyToRole(role, c)
	result.OK = result.Reason == ""
	result.Role = *role
	return result
}

// nameVoter records the name of a voter id. It reports whether the command was valid and the limit
// on names allowed it.
func (s *State) nameVoter(c Command) bool {
	named := c.Target != "" && len(c.Target) <= maxInstanceNameBytes
	if !named || c.Token == 0 || len(s.VoterNames) >= maxVoterNames {
		return false
	}
	s.VoterNames[c.Token] = c.Target
	return true
}

// roleFor returns a command's role, or nil if it does not exist. A definition or a grant creates a
// missing role unless there are maxRoles already.
func (s *State) roleFor(c Command) *Role {
	role := s.Roles[c.Role]
	if role != nil {
		return role
	}
	creates := c.Kind == CommandDefine || c.Kind == CommandGrant
	if !creates || len(s.Roles) >= maxRoles {
		return nil
	}
	role = &Role{Name: c.Role}
	s.Roles[c.Role] = role
	return role
}

// applyToRole applies a command to a role. If the command is rejected, applyToRole returns the
// reason and changes nothing.
func (s *State) applyToRole(role *Role, c Command) (rejection string) {
	switch c.Kind {
	case CommandDefine:
		return ""
	case CommandGrant:
		return s.grant(role, c)
	case CommandExpire, CommandRelease, CommandRevoke:
		return s.end(role, c)
	case CommandProgress:
		return s.setProgress(role, c)
	case CommandForgive:
		return s.forgive(role, c)
	case CommandTransfer:
		return s.transfer(role, c)
	}
	return "no such command"
}

// grant makes the command's target the holder of a free role, under a new token.
func (s *State) grant(role *Role, c Command) (rejection string) {
	switch {
	case role.Holder != "":
		return "it has an owner"
	case c.Target == "":
		return "nobody is named"
	case c.Token != role.Token:
		return ReasonStaleToken // the role was granted and ended since this command was proposed
	case role.NextHolder != "" && role.NextHolder != c.Target:
		return "it is kept for " + role.NextHolder
	}
	role.Holder, role.NextHolder, role.Revoked = c.Target, "", false
	if !mutantReuseToken {
		role.Token = s.NextToken
		s.NextToken++
	}
	s.record(role, eventGranted, c.Target)
	return ""
}

// end takes a role from its holder: on expiry, on the holder's release, or on an operator's revoke.
func (s *State) end(role *Role, c Command) (rejection string) {
	if c.Token != role.Token || role.Holder == "" {
		return ReasonStaleToken
	}
	former := role.Holder
	role.Holder = ""
	switch c.Kind {
	case CommandExpire:
		role.HolderFailures++
		s.record(role, eventExpired, former)
	case CommandRelease:
		s.record(role, eventReleased, former)
	case CommandRevoke:
		role.Revoked, role.NextHolder = true, c.Target
		s.record(role, eventRevoked, former)
	}
	return ""
}

// setProgress stores the holder's progress. Reports under one token carry sequence numbers, so that
// a delayed report can't overwrite a later one.
func (s *State) setProgress(role *Role, c Command) (rejection string) {
	if (c.Token != role.Token || role.Holder == "") && !mutantAcceptStaleToken {
		return ReasonStaleToken
	}
	if c.Token == role.ProgressToken && c.ProgressSeq < role.ProgressSeq && !mutantAcceptOlderProgress {
		return ReasonStaleProgress
	}
	role.Progress = c.Progress
	role.ProgressToken, role.ProgressIndex, role.ProgressSeq = c.Token, s.AppliedIndex, c.ProgressSeq
	role.HolderFailures = 0
	return ""
}

// forgive decrements the count of failures. It is rejected once the role has been granted again:
// whatever made the former holder fail may then affect the new holder too.
func (s *State) forgive(role *Role, c Command) (rejection string) {
	if c.Token != role.Token || role.Holder != "" || role.HolderFailures == 0 {
		return ReasonStaleToken
	}
	role.HolderFailures--
	s.record(role, eventForgiven, c.Target)
	return ""
}

// transfer reserves a role for the command's target. The command must carry the latest token, so
// that two operators can't overwrite each other's change without noticing.
func (s *State) transfer(role *Role, c Command) (rejection string) {
	if c.Token != role.Token {
		return ReasonStaleToken
	}
	role.NextHolder = c.Target
	s.record(role, eventTransferred, c.Target)
	return ""
}

// record appends an event for the command being applied, and drops the oldest events above
// maxHistory.
func (s *State) record(role *Role, kind, instance string) {
	s.History = append(s.History, Event{s.AppliedIndex, role.Name, kind, instance, role.Token})
	if excess := len(s.History) - maxHistory; excess > 0 {
		s.History = append(s.History[:0], s.History[excess:]...)
	}
}

// Snapshot returns the state's stored encoding, which Restore decodes.
func (s *State) Snapshot() []byte {
	snapshot, err := json.Marshal(s)
	if err != nil {
		panic(err) // a struct of strings, numbers and bytes always marshals
	}
	return snapshot
}

// Restore replaces the state with that of a snapshot. On an error the state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	restored := NewState()
	if err := json.Unmarshal(snapshot, restored); err != nil {
		return fmt.Errorf("lease: restore snapshot: %w", err)
	}
	*s = *restored
	return nil
}

// RoleNames returns the names of all roles, sorted.
func (s *State) RoleNames() []string {
	names := make([]string, 0, len(s.Roles))
	for name := range s.Roles {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
