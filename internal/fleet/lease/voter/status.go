package voter

import (
	"context"
	"slices"
	"sort"

	"kestrelspread/internal/fleet/lease/transport"
)

// Status is this voter's view of the group, confirmed by a quorum where it leads.
func (s *Server) Status(ctx context.Context) (transport.Status, error) {
	return call(ctx, s, s.requests, func(reply func(transport.Status)) {
		status := transport.Status{
			Name:         s.options.Name,
			VoterID:      s.store.VoterID,
			GroupID:      s.store.GroupID,
			DiskFault:    s.store.Fault(),
			SyncCount:    s.store.SyncCount(),
			MessagesSent: s.messagesSent.Load(),
		}
		if s.fault != "" {
			status.DiskFault = s.fault
		}
		if s.replica == nil {
			reply(status)
			return
		}
		s.replica.ConfirmLeadership(func(confirmed bool) {
			status.Confirmed = confirmed
			status.IsLeader = s.replica.IsLeader()
			status.Leader = s.voterName(s.replica.LeaderID())
			status.Term = s.replica.Term()
			status.AppliedIndex = s.replica.AppliedIndex()
			s.fillStatus(&status)
			reply(status)
		})
	})
}

// fillStatus adds the group's voters, roles, history and instances.
func (s *Server) fillStatus(status *transport.Status) {
	now := Now()
	state := s.replica.State
	status.NextToken = state.NextToken
	status.Voters = s.voterStatuses(now, status.IsLeader)
	expiries := s.replica.Lessor.Expiries()
	for _, name := range state.RoleNames() {
		role := transport.RoleStatus{Role: *state.Roles[name]}
		if expiresAt, known := expiries[name]; known && status.Confirmed {
			role.LeaseLeftMs = max(expiresAt-now, 0)
		}
		status.Roles = append(status.Roles, role)
	}
	status.History = slices.Clone(state.History)
	if status.Confirmed {
		status.RequestAgesMs = s.replica.Lessor.RequestAges(now)
	}
}

// voterStatuses lists the members, sorted by name. While one voter replaces another, a majority
// of the voters before counts as well: whoever stopped a third one because the new one votes
// would stop the group for good.
func (s *Server) voterStatuses(now float64, isLeader bool) (voters []transport.VoterStatus) {
	conf := s.replica.ConfState()
	add := func(id uint64, learner, leaving bool) {
		voter := transport.VoterStatus{
			Name:           s.voterName(id),
			ID:             id,
			Learner:        learner,
			Leaving:        leaving,
			SinceContactMs: s.membership.SinceContact(now, id),
		}
		if isLeader {
			voter.MatchIndex = s.replica.MatchIndex(id)
		}
		voters = append(voters, voter)
	}
	for _, id := range conf.Voters {
		add(id, false, false)
	}
	for _, id := range conf.Learners {
		add(id, true, false)
	}
	for _, id := range conf.VotersOutgoing {
		if !slices.Contains(conf.Voters, id) {
			add(id, false, true)
		}
	}
	sort.Slice(voters, func(i, j int) bool { return voters[i].Name < voters[j].Name })
	return voters
}
