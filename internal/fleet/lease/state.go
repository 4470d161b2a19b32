package lease

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Role is a singleton role and its grant.
type Role struct {
	Name           string `json:"name"`
	Holder         string `json:"owner,omitempty"` // an incarnation of an instance; empty: nobody
	Token          uint64 `json:"token"`           // fencing token of the latest grant
	NextHolder     string `json:"next,omitempty"`  // the role is reserved for it once it is released
	Progress       []byte `json:"data,omitempty"`  // the work's own account of how far it has come
	ProgressToken  uint64 `json:"written"`         // token under which Progress was written
	ProgressIndex  uint64 `json:"changed"`         // log index at which Progress was written
	ProgressSeq    uint64 `json:"word"`            // sequence number of Progress under its token
	HolderFailures int    `json:"deaths"`          // expired leases in a row, since progress was made
	Forced         bool   `json:"forced,omitempty"`
}

// Event is one line of the history of grants.
type Event struct {
	Index    uint64 `json:"index"`
	Role     string `json:"duty"`
	Kind     string `json:"what"`
	Instance string `json:"who,omitempty"`
	Token    uint64 `json:"token"`
}

// Kinds of events. Operators read them, and they are stored.
const (
	eventGranted     = "granted"
	eventExpired     = "expired"
	eventReleased    = "released"
	eventRevoked     = "forced"
	eventForgiven    = "spared"
	eventTransferred = "to move"
)

// State is the replicated state machine. It is a function of the applied commands alone: equal
// logs give equal states, byte for byte in Snapshot.
type State struct {
	NextToken    uint64            `json:"next"`   // the next grant's
	VoterNames   map[uint64]string `json:"voters"` // by voter id; each disk has an id of its own
	Roles        map[string]*Role  `json:"duties"`
	History      []Event           `json:"history"`
	AppliedIndex uint64            `json:"index"` // of the latest command
}

// Bounds on the state: the whole of it travels in one snapshot.
const (
	maxHistory           = 1000 // events
	maxRoles             = 200
	maxVoterNames        = 1000
	maxProgressBytes     = 16 << 10
	maxRoleNameBytes     = 128
	maxInstanceNameBytes = 256
)

// NewState returns a state without roles. Its first token is 1.
func NewState() *State {
	return &State{NextToken: 1, VoterNames: map[uint64]string{}, Roles: map[string]*Role{}}
}

// Apply changes the state by one entry of the log. An empty entry, as an election leaves one,
// changes nothing. An entry that can't be decoded is rejected by every voter alike.
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

// nameVoter records whose a voter id is, within the bounds.
func (s *State) nameVoter(c Command) bool {
	named := c.Target != "" && len(c.Target) <= maxInstanceNameBytes
	if !named || c.Token == 0 || len(s.VoterNames) >= maxVoterNames {
		return false
	}
	s.VoterNames[c.Token] = c.Target
	return true
}

// roleFor finds a command's role. A definition or a grant creates it while there is room.
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

// applyToRole carries a command out, or returns why it is rejected and changes nothing.
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

func (s *State) grant(role *Role, c Command) (rejection string) {
	switch {
	case role.Holder != "":
		return "it has an owner"
	case c.Target == "":
		return "nobody is named"
	case c.Token != role.Token:
		return ReasonStaleToken // it was granted and lost since this command was proposed
	case role.NextHolder != "" && role.NextHolder != c.Target:
		return "it is kept for " + role.NextHolder
	}
	role.Holder, role.NextHolder, role.Forced = c.Target, "", false
	if !mutantReuse {
		role.Token = s.NextToken
		s.NextToken++
	}
	s.record(role, eventGranted, c.Target)
	return ""
}

// end takes a role from its holder: by expiry, by the holder's release, or by an operator.
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
		role.Forced, role.NextHolder = true, c.Target
		s.record(role, eventRevoked, former)
	}
	return ""
}

// setProgress stores the holder's progress. Under one token it is numbered, so that progress
// which was held up on its way can't overwrite later progress.
func (s *State) setProgress(role *Role, c Command) (rejection string) {
	if (c.Token != role.Token || role.Holder == "") && !mutantOldProgress {
		return ReasonStaleToken
	}
	if c.Token == role.ProgressToken && c.ProgressSeq < role.ProgressSeq && !mutantOldWord {
		return ReasonStaleProgress
	}
	role.Progress = c.Progress
	role.ProgressToken, role.ProgressIndex, role.ProgressSeq = c.Token, s.AppliedIndex, c.ProgressSeq
	role.HolderFailures = 0
	return ""
}

// forgive takes one failure back. Once the role has been granted again it is too late: what the
// former holder may have failed of concerns the next one by then.
func (s *State) forgive(role *Role, c Command) (rejection string) {
	if c.Token != role.Token || role.Holder != "" || role.HolderFailures == 0 {
		return ReasonStaleToken
	}
	role.HolderFailures--
	s.record(role, eventForgiven, c.Target)
	return ""
}

// transfer reserves a role. The token has to be the latest, so that two operators can't undo
// each other's change unseen.
func (s *State) transfer(role *Role, c Command) (rejection string) {
	if c.Token != role.Token {
		return ReasonStaleToken
	}
	role.NextHolder = c.Target
	s.record(role, eventTransferred, c.Target)
	return ""
}

// record appends an event of the command being applied, and drops the oldest past the bound.
func (s *State) record(role *Role, kind, instance string) {
	s.History = append(s.History, Event{s.AppliedIndex, role.Name, kind, instance, role.Token})
	if excess := len(s.History) - maxHistory; excess > 0 {
		s.History = append(s.History[:0], s.History[excess:]...)
	}
}

// Snapshot returns the state's stored form; Restore reads it.
func (s *State) Snapshot() []byte {
	snapshot, err := json.Marshal(s)
	if err != nil {
		panic(err) // a struct of strings, numbers and bytes always marshals
	}
	return snapshot
}

// Restore replaces the state by a snapshot's. After an error the state is as it was.
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
