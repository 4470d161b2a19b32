package leasesim

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"go.etcd.io/raft/v3/raftpb"

	"kestrelspread/internal/fleet/lease"
	"kestrelspread/internal/fleet/lease/consensus"
	"kestrelspread/internal/fleet/lease/membership"
	"kestrelspread/internal/fleet/lease/replica"
)

// simVoter is a voter's process and its disk.
type simVoter struct {
	process
	number     int
	durable    consensus.DurableState
	self       membership.Hello
	replica    *replica.Replica
	membership *membership.Reconciler
}

const (
	tickMs        = 100.0
	ticksPerHello = 10
	// maxReadySteps bounds what one event makes a voter do.
	maxReadySteps = 100
)

func (v *simVoter) party() string { return "v" + strconv.Itoa(v.number) }

// leads tells whether the voter runs, leads, and may act as the lessor.
func (s *simulation) leads(v *simVoter) bool {
	running := !v.down && v.suspendedUntil <= s.now
	return running && v.replica.IsLeader() && v.replica.Lessor.IsLeader()
}

// foundGroup starts the voters as a group that is founded already.
func (s *simulation) foundGroup() {
	var ids []uint64
	for i := range s.Voters {
		ids = append(ids, uint64(i+1))
	}
	for i, id := range ids {
		s.founders[id] = fmt.Sprint("v", i)
	}
	for i, durable := range s.bootstrap(ids) {
		self := membership.Hello{Name: s.founders[durable.ID], VoterID: durable.ID, GroupID: 1, Founders: s.founders}
		v := &simVoter{process: s.newProcess(), number: i, durable: durable, self: self}
		s.voters = append(s.voters, v)
		s.voterByID[durable.ID] = v
	}
	for _, v := range s.voters {
		s.startVoter(v)
	}
}

// bootstrap returns the disks of a new group, whose state names the voters.
func (s *simulation) bootstrap(ids []uint64) []consensus.DurableState {
	state := lease.NewState()
	maps.Copy(state.VoterNames, s.founders)
	disks := consensus.Bootstrap(ids...)
	for i := range disks {
		disks[i].Snapshot.Data = state.Snapshot()
	}
	return disks
}

// startVoter starts a voter from its disk.
func (s *simulation) startVoter(v *simVoter) {
	v.start()
	seed := s.Seed*100 + uint64(v.number) + uint64(v.incarnation)<<32
	var err error
	v.replica, err = replica.New(v.durable, s.Config, consensus.DefaultConfig, seed)
	if err != nil {
		s.violation("%s does not start: %v", v.party(), err)
		v.down = true
		return
	}
	var names []string
	for _, other := range s.voters {
		names = append(names, other.party())
	}
	v.membership = membership.New(membership.DefaultConfig, v.self, names, v.clock(s.now))
	incarnation, ticks := v.incarnation, 0
	var tick func()
	tick = func() {
		if v.incarnation != incarnation {
			return
		}
		s.handle(&v.process, func() {
			s.tickVoter(v)
			ticks++
			if ticks%ticksPerHello == 1 {
				s.sendHellos(v)
			}
		})
		s.after(tickMs/v.rate, tick)
	}
	s.after(tickMs*s.rng.Float64(), tick)
}

func (s *simulation) tickVoter(v *simVoter) {
	v.replica.Tick(v.clock(s.now))
	s.applyMembershipStep(v)
	s.handleReady(v)
}

// sendHellos tells all other voters who a voter is.
func (s *simulation) sendHellos(v *simVoter) {
	hello := v.membership.Self()
	for _, other := range s.voters {
		if other == v {
			continue
		}
		s.send(v.party(), other.party(), func() {
			s.handle(&other.process, func() { other.membership.HandleHello(other.clock(s.now), hello) })
		})
	}
}

// applyMembershipStep takes the step of a voter's membership that is due.
func (s *simulation) applyMembershipStep(v *simVoter) {
	conf := v.replica.ConfState()
	step, due := v.membership.NextStep(v.clock(s.now), membership.View{
		IsLeader:   v.replica.IsLeader() && v.replica.Lessor.IsLeader() && len(conf.VotersOutgoing) == 0,
		Voters:     conf.Voters,
		Learners:   conf.Learners,
		VoterNames: v.replica.State.VoterNames,
		CaughtUp:   v.replica.CaughtUp,
	})
	if !due {
		return
	}
	switch step.Kind {
	case membership.StepJoin:
		s.joinGroup(v, step)
	case membership.StepNameVoter:
		c := lease.Command{Kind: lease.CommandNameVoter, Token: step.VoterID, Target: step.Name}
		v.replica.Submit(v.clock(s.now), c, func(lease.Result) {})
	case membership.StepAddLearner:
		v.replica.ProposeConfChange(raftpb.ConfChangeAddLearnerNode, step.VoterID)
	case membership.StepPromote:
		s.result.ReplacedVoters++
		if step.ReplacedID != 0 {
			v.replica.ProposeReplacement(step.VoterID, step.ReplacedID)
			return
		}
		v.replica.ProposeConfChange(raftpb.ConfChangeAddNode, step.VoterID)
	}
}

// joinGroup has a voter take up its group. That it takes a founder's place comes about by a
// planted defect alone: all founders' disks were made before the founding.
func (s *simulation) joinGroup(v *simVoter, step membership.Step) {
	v.self.GroupID, v.self.Founders = step.GroupID, step.Founders
	v.membership.SetGroup(step.GroupID, step.Founders)
	if step.Founders == nil {
		return
	}
	ids := slices.Sorted(maps.Keys(step.Founders))
	v.durable = s.bootstrap(ids)[slices.Index(ids, step.VoterID)]
	delete(s.voterByID, v.self.VoterID)
	s.voterByID[step.VoterID], v.self.VoterID = v, step.VoterID
	s.startVoter(v)
}

// handleReady does what a voter's replica asks for, until that is nothing more, and checks the
// replicated state.
func (s *simulation) handleReady(v *simVoter) {
	for range maxReadySteps {
		ready := v.replica.Ready()
		if !ready.IsEmpty() {
			s.save(v, &ready)
			s.sendRaft(v, ready.Messages)
		}
		electionsWon := v.replica.ElectionsWon
		if err := v.replica.Advance(); err != nil {
			s.violation("%s: %v", v.party(), err)
			return
		}
		s.result.Elections += v.replica.ElectionsWon - electionsWon
		s.saveSnapshot(v)
		if ready.IsEmpty() {
			break
		}
	}
	s.checkState(v)
}

// save makes a Ready durable.
func (s *simulation) save(v *simVoter, ready *consensus.Ready) {
	if ready.Sync {
		s.result.Syncs++
	}
	if ready.Snapshot != nil {
		v.durable.Snapshot, v.durable.Entries = *ready.Snapshot, nil
	}
	v.durable.Entries = appendEntries(v.durable.Entries, ready.Entries)
	if ready.HardState.Term > 0 || ready.HardState.Commit > 0 {
		v.durable.HardState = ready.HardState
	}
}

// appendEntries adds entries to a log; each replaces what was there from its index on.
func appendEntries(log, entries []raftpb.Entry) []raftpb.Entry {
	for _, entry := range entries {
		for len(log) > 0 && log[len(log)-1].Index >= entry.Index {
			log = log[:len(log)-1]
		}
		log = append(log, entry)
	}
	return log
}

// saveSnapshot makes a snapshot durable where one is due, and drops the entries it contains.
func (s *simulation) saveSnapshot(v *simVoter) {
	snapshot, err := v.replica.MaybeSnapshot()
	if err != nil {
		s.violation("%s: %v", v.party(), err)
		return
	}
	if snapshot == nil {
		return
	}
	v.durable.Snapshot = *snapshot
	var after []raftpb.Entry
	for _, entry := range v.durable.Entries {
		if entry.Index > snapshot.Metadata.Index {
			after = append(after, entry)
		}
	}
	v.durable.Entries = after
}

// sendRaft sends messages to the voters whose disks have the ids they are for.
func (s *simulation) sendRaft(v *simVoter, messages []raftpb.Message) {
	for _, m := range messages {
		to := s.voterByID[m.To]
		if to == nil {
			continue
		}
		s.send(v.party(), to.party(), func() {
			if to.durable.ID != m.To {
				return // it has another disk by now
			}
			s.handle(&to.process, func() {
				to.replica.HandleMessage(to.clock(s.now), m)
				s.handleReady(to)
			})
		})
	}
}

// defineRoles has the leader define the roles, until all are known.
func (s *simulation) defineRoles() {
	const retryMs = 200
	s.after(retryMs, func() {
		leader := slices.IndexFunc(s.voters, s.leads)
		if leader >= 0 && s.defineMissing(s.voters[leader]) == 0 {
			return
		}
		s.defineRoles()
	})
}

// defineMissing submits definitions of the roles that a voter doesn't know, and counts them.
func (s *simulation) defineMissing(v *simVoter) (missing int) {
	for number := range s.Roles {
		name := roleName(number)
		if v.replica.State.Roles[name] == nil {
			missing++
			v.replica.Submit(v.clock(s.now), lease.Command{Kind: lease.CommandDefine, Role: name}, func(lease.Result) {})
		}
	}
	s.handleReady(v)
	return missing
}

// loseDisk kills a voter, takes its disk away, and starts it with another after a while. It does
// so only while all voters run and none is being replaced: a minority at a time.
func (s *simulation) loseDisk(v *simVoter, span float64) {
	for _, other := range s.voters {
		if other.down || !s.membershipIsStable(other) {
			return
		}
	}
	s.result.LostDisks++
	v.kill()
	delete(s.voterByID, v.self.VoterID)
	s.lastDiskID++
	v.durable = consensus.DurableState{ID: s.lastDiskID}
	v.self = membership.Hello{Name: v.self.Name, VoterID: s.lastDiskID}
	s.voterByID[s.lastDiskID] = v
	s.after(span, func() { s.startVoter(v) })
}

// membershipIsStable tells whether the membership that a voter knows is just the voters' present disks.
func (s *simulation) membershipIsStable(v *simVoter) bool {
	conf := v.replica.ConfState()
	if len(conf.Voters) != len(s.voters) || len(conf.VotersOutgoing) > 0 {
		return false
	}
	for _, other := range s.voters {
		if !slices.Contains(conf.Voters, other.self.VoterID) {
			return false
		}
	}
	return true
}
