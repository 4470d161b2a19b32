package transport

import (
	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/replica"
)

// Response is a voter's answer to a lease request.
type Response struct {
	replica.Response
	LeaderName string `json:"leader_name,omitempty"` // whom to ask where not OK; "": not known
}

// CommandResult is the result of a submitted command.
type CommandResult struct {
	OK bool `json:"ok"`
	// OutcomeKnown false: the command may or may not be committed.
	OutcomeKnown bool       `json:"known"`
	Reason       string     `json:"why,omitempty"`
	Role         lease.Role `json:"duty"`
	LeaderName   string     `json:"leader_name,omitempty"`
}

// VoterStatus is one member of the group.
type VoterStatus struct {
	Name    string `json:"name"`
	ID      uint64 `json:"id"`
	Learner bool   `json:"learner,omitempty"`
	// Leaving: its vote counts until the membership change in progress is over.
	Leaving        bool    `json:"leaving,omitempty"`
	MatchIndex     uint64  `json:"match,omitempty"` // up to which it has the log, as the leader knows
	SinceContactMs float64 `json:"heard_ms"`        // below 0: never, or the voter itself
}

// RoleStatus is a role with its lease.
type RoleStatus struct {
	lease.Role
	LeaseLeftMs float64 `json:"lease_left_ms"` // by the leader's clock; 0 where it knows of none
}

// Status is a voter's view of the group, for operators.
type Status struct {
	Name     string `json:"name"`
	VoterID  uint64 `json:"id"`
	GroupID  uint64 `json:"group"`
	Leader   string `json:"leader,omitempty"`
	IsLeader bool   `json:"leading"`
	// Confirmed: a quorum has confirmed the lead after the request arrived. Else the status is
	// what this voter last knew.
	Confirmed     bool               `json:"confirmed"`
	Term          uint64             `json:"term"`
	AppliedIndex  uint64             `json:"applied"`
	NextToken     uint64             `json:"next_token"`
	Voters        []VoterStatus      `json:"voters"`
	Roles         []RoleStatus       `json:"duties"`
	History       []lease.Event      `json:"history,omitempty"`
	RequestAgesMs map[string]float64 `json:"instances,omitempty"` // by instance, as the leader knows
	DiskFault     string             `json:"disk,omitempty"`
	SyncCount     int64              `json:"syncs"`
	MessagesSent  int64              `json:"sent"`
}
