package voter

import (
	"fmt"
	"maps"
	"slices"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
	"kestrelspread/internal/fleet/lease/membership"
)

// tick advances the replica's clock, takes the membership's next step, and logs what changed.
func (s *Server) tick() {
	if s.fault != "" {
		return
	}
	now := Now()
	if s.replica != nil {
		s.replica.Tick(now)
	}
	if step, due := s.membership.NextStep(now, s.membershipView()); due {
		if err := s.applyStep(step); err != nil {
			s.options.Log.Warn().Err(err).Msg("owner: a step of the voters' membership failed")
		}
	}
	s.logChanges()
}

// membershipView is the committed membership. While a change is in progress nobody leads it.
func (s *Server) membershipView() membership.View {
	if s.replica == nil {
		return membership.View{}
	}
	conf := s.replica.ConfState()
	changing := len(conf.VotersOutgoing) > 0
	return membership.View{
		IsLeader:   s.replica.IsLeader() && s.replica.Lessor.IsLeader() && !changing,
		Voters:     conf.Voters,
		Learners:   conf.Learners,
		VoterNames: s.replica.State.VoterNames,
		CaughtUp:   s.replica.CaughtUp,
	}
}

// applyStep carries a step of the membership out.
func (s *Server) applyStep(step membership.Step) error {
	switch step.Kind {
	case membership.StepBootstrap:
		return s.joinGroup(randomID(), step.Founders)
	case membership.StepJoin:
		return s.joinGroup(step.GroupID, step.Founders)
	case membership.StepNameVoter:
		c := lease.Command{Kind: lease.CommandNameVoter, Token: step.VoterID, Target: step.Name}
		s.replica.Submit(Now(), c, func(lease.Result) {})
	case membership.StepAddLearner:
		s.logStep(step).Msg("owner: voter learns before it votes")
		return s.replica.ProposeConfChange(raftpb.ConfChangeAddLearnerNode, step.VoterID)
	case membership.StepPromote:
		s.logStep(step).Str("gone", fmt.Sprintf("%x", step.ReplacedID)).Msg("owner: learner is promoted to voter")
		if step.ReplacedID != 0 {
			return s.replica.ProposeReplacement(step.VoterID, step.ReplacedID)
		}
		return s.replica.ProposeConfChange(raftpb.ConfChangeAddNode, step.VoterID)
	}
	return nil
}

// logStep begins a line on a step of a voter.
func (s *Server) logStep(step membership.Step) *zerolog.Event {
	return s.options.Log.Info().Str("voter", step.Name).Str("number", fmt.Sprintf("%x", step.VoterID))
}

// joinGroup makes the disk belong to a group, and starts the replica. Founders all begin with the
// same state; without founders this voter begins empty, and learns.
func (s *Server) joinGroup(groupID uint64, founders map[uint64]string) error {
	initial := consensus.DurableState{ID: s.store.VoterID}
	if founders != nil {
		state := lease.NewState()
		state.VoterNames = maps.Clone(founders)
		ids := slices.Sorted(maps.Keys(founders))
		initial = consensus.Bootstrap(ids...)[slices.Index(ids, s.store.VoterID)]
		initial.Snapshot.Data = state.Snapshot()
	}
	if err := s.store.JoinGroup(groupID, founders, initial); err != nil {
		return err
	}
	s.membership.SetGroup(groupID, founders)
	s.options.Log.Info().Str("group", fmt.Sprintf("%x", groupID)).Bool("votes", founders != nil).Msg("owner: this voter's disk belongs to a group")
	return s.startReplica()
}

// logChanges logs a new leader, and the history since the last time.
func (s *Server) logChanges() {
	if s.replica == nil {
		return
	}
	if leader := s.voterName(s.replica.LeaderID()); leader != s.lastLeader {
		s.lastLeader = leader
		s.options.Log.Info().Str("leader", leader).Uint64("term", s.replica.Term()).Msg("owner: who leads the voters")
	}
	for _, event := range s.replica.State.History {
		if event.Index <= s.lastLoggedIndex {
			continue
		}
		s.lastLoggedIndex = event.Index
		s.options.Log.Info().Str("duty", event.Role).Str("what", event.Kind).Str("who", event.Instance).
			Uint64("token", event.Token).Uint64("index", event.Index).Msg("owner: duty")
	}
}

// voterName is the name of an id; "" where it is not known, or 0: nobody. (The membership must
// not be asked for 0, as voters that never said hello have that id there.)
func (s *Server) voterName(id uint64) string {
	if id == 0 {
		return ""
	}
	if id == s.store.VoterID {
		return s.options.Name
	}
	if s.replica != nil {
		if name := s.replica.State.VoterNames[id]; name != "" {
			return name
		}
	}
	return s.membership.VoterName(id)
}
