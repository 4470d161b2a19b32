package view

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// RemovalTimeout is for how long a voter must have been out of reach before it may be dropped without a successor.
const RemovalTimeout core.Time = 3 * time.Second

// Condition is what a node knows of its way to a voter and back.
type Condition uint8

// The conditions of a voter.
const (
	Unknown   Condition = iota // neither proven nor long enough without proof
	Reachable                  // a round trip lately, and a healthy disk
	Failed                     // no round trip for a second, or a disk in trouble, or a machine whose disk was replaced
)

// FailureDetector tells how voters can be reached. Detector implements it.
type FailureDetector interface {
	Condition(diskID string) Condition
	// FailedFor is for how long the voter has been missing, 0 if it isn't.
	FailedFor(diskID string) core.Time
	// Unreachable reports whether there is no way to the voter and back, whatever the health of its disk.
	Unreachable(diskID string) bool
	// LinkBroken reports whether one of the two said that it misses the other.
	LinkBroken(a, b string) bool
	// Stalled reports whether the voter is wedged in the current epoch for longer than a proposal takes.
	Stalled(diskID string) bool
}

// Reconfiguration is what a node that may propose knows when it considers the next view.
type Reconfiguration struct {
	View      *nodepb.View
	Self      string // disk id
	Tolerance int    // faultTolerance.machines
	Detector  FailureDetector
	// Joiners made the whole state of this node, the head, durable.
	Joiners []*nodepb.Voter
	// Leaving: this node ends soon.
	Leaving bool
	// Wedged: this node has proposed in this epoch before, so that the view must change.
	Wedged bool
}

// Needed reports whether the view should change.
func (s *Reconfiguration) Needed() bool {
	switch {
	case s.Wedged || s.chainBroken():
		return true
	case !CanAcknowledge(s.View) && s.restoresAcknowledgement():
		return true
	case s.Leaving && len(s.View.GetChain()) > 1:
		return !slices.Equal(s.nextChain(), s.View.GetChain())
	case ChainIndex(s.View, s.Self) != 0:
		return false // only the head takes joiners and drops voters
	default:
		return len(s.Joiners) > 0 || len(s.removableVoters(s.View.GetVoters())) > 0
	}
}

// restoresAcknowledgement reports whether a view that acknowledges nothing can be followed by one that does, by those alone that hold the state.
func (s *Reconfiguration) restoresAcknowledgement() bool {
	next := s.NextView()
	return next != nil && CanAcknowledge(next)
}

// MajorityReachable reports whether a proposal can succeed just now.
func (s *Reconfiguration) MajorityReachable() bool { return s.reachesMajority(s.View.GetVoters()) }

// ProposersKnown reports whether everybody who may propose is known to be in reach or not.
func (s *Reconfiguration) ProposersKnown() bool {
	for _, diskID := range EligibleProposers(s.View) {
		if s.condition(diskID) == Unknown {
			return false
		}
	}
	return true
}

// ProposerRank is the number of nodes before this one that could propose in its place. Nobody else proposes for one
// that is leaving.
func (s *Reconfiguration) ProposerRank() int {
	if s.Leaving {
		return 0
	}
	rank := 0
	for _, diskID := range EligibleProposers(s.View) {
		if diskID == s.Self {
			break
		}
		if s.condition(diskID) == Reachable && !s.Detector.Stalled(diskID) {
			rank++
		}
	}
	return rank
}

// NextView is the view to propose. It names only nodes that hold all that was acknowledged, and joiners, and leaves voters enough
// that a majority of the new ones is in reach; nil if that can't be.
func (s *Reconfiguration) NextView() *nodepb.View {
	chain := s.nextChain()
	if len(chain) == 0 {
		return nil
	}
	retained := s.retainedReplicas(chain)
	voters := s.nextVoters(append(slices.Clone(chain), retained...))
	next := &nodepb.View{
		Epoch:             s.View.GetEpoch() + 1,
		Voters:            voters,
		Chain:             chain,
		RemovedVoters:     s.removedVoters(voters),
		MinChainLength:    uint32(requiredChainLength(len(voters), s.Tolerance)),
		MemberUnreachable: s.leavesOutUnreachable(chain),
	}
	if !CanAcknowledge(next) {
		next.OffChainReplicas = slices.DeleteFunc(retained, func(diskID string) bool { return !IsVoter(next, diskID) })
	}
	if !Valid(next) || !s.reachesMajority(voters) || s.tooShort(next) {
		return nil
	}
	return next
}

// leavesOutUnreachable reports whether a member of the chain in force is left out of the next one because it can't be reached.
func (s *Reconfiguration) leavesOutUnreachable(next []string) bool {
	return slices.ContainsFunc(s.View.GetChain(), func(diskID string) bool {
		return diskID != s.Self && !slices.Contains(next, diskID) && s.Detector.Unreachable(diskID)
	})
}

// retainedReplicas lists those outside the chain that hold what was acknowledged, if the chain may be too short: they stay
// voters then.
func (s *Reconfiguration) retainedReplicas(chain []string) []string {
	if len(chain) > s.Tolerance {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(EligibleProposers(s.View)), func(diskID string) bool {
		return slices.Contains(chain, diskID)
	})
}

// tooShort reports whether the chain would be too short to acknowledge, and whom it leaves out may be back soon: a short chain
// gains nothing then, and the loss of its disks would be the loss of the state.
func (s *Reconfiguration) tooShort(next *nodepb.View) bool {
	if CanAcknowledge(next) {
		return false
	}
	for _, diskID := range EligibleProposers(s.View) {
		if !slices.Contains(next.GetChain(), diskID) && !s.failedForLong(diskID) {
			return true
		}
	}
	return false
}

func (s *Reconfiguration) condition(diskID string) Condition {
	if diskID == s.Self {
		return Reachable
	}
	return s.Detector.Condition(diskID)
}

func (s *Reconfiguration) chainBroken() bool {
	chain := s.View.GetChain()
	for i, diskID := range chain {
		if s.condition(diskID) == Failed {
			return true
		}
		if diskID != s.Self && s.Detector.Stalled(diskID) {
			return true
		}
		for _, other := range chain[:i] {
			if s.Detector.LinkBroken(diskID, other) {
				return true
			}
		}
	}
	return false
}

// nextChain is this node, the members it reaches in their order, and the joiners. One that is leaving takes no joiners
// and puts itself last, or nowhere if the others are enough.
func (s *Reconfiguration) nextChain() []string {
	var others []string
	for _, diskID := range EligibleProposers(s.View) {
		if diskID != s.Self && s.condition(diskID) == Reachable {
			others = append(others, diskID)
		}
	}
	others = s.withoutBrokenLinks(others)
	if s.Leaving && len(others) > 0 {
		if len(others) >= requiredChainLength(len(s.View.GetVoters()), s.Tolerance) {
			return others
		}
		return append(others, s.Self)
	}
	chain := append([]string{s.Self}, others...)
	for _, joiner := range s.Joiners {
		if !slices.Contains(chain, joiner.GetDiskId()) {
			chain = append(chain, joiner.GetDiskId())
		}
	}
	return chain
}

// withoutBrokenLinks takes out the member with the most broken links, the later one of two, until none is left.
func (s *Reconfiguration) withoutBrokenLinks(members []string) []string {
	for {
		worst, maxBroken := -1, 0
		for i, member := range members {
			if broken := s.brokenLinks(member, members); broken >= maxBroken && broken > 0 {
				worst, maxBroken = i, broken
			}
		}
		if worst < 0 {
			return members
		}
		members = slices.Delete(members, worst, worst+1)
	}
}

func (s *Reconfiguration) brokenLinks(member string, members []string) int {
	broken := 0
	if s.Detector.LinkBroken(member, s.Self) {
		broken++
	}
	for _, other := range members {
		if other != member && s.Detector.LinkBroken(member, other) {
			broken++
		}
	}
	return broken
}

// nextVoters adds the joiners, each in the place of its former self, else of a voter that is out of reach, else as one more;
// then it drops who may be dropped. Those to be kept are neither replaced by another machine nor dropped.
func (s *Reconfiguration) nextVoters(retained []string) []*nodepb.Voter {
	voters := slices.Clone(s.View.GetVoters())
	if s.Leaving {
		return voters
	}
	for _, joiner := range s.Joiners {
		voters = s.addVoter(voters, joiner, retained)
	}
	removed := slices.DeleteFunc(s.removableVoters(voters), func(diskID string) bool { return slices.Contains(retained, diskID) })
	return slices.DeleteFunc(voters, func(voter *nodepb.Voter) bool {
		return slices.Contains(removed, voter.GetDiskId())
	})
}

func (s *Reconfiguration) addVoter(voters []*nodepb.Voter, joiner *nodepb.Voter, retained []string) []*nodepb.Voter {
	index := slices.IndexFunc(voters, func(voter *nodepb.Voter) bool {
		return voter.GetDiskId() == joiner.GetDiskId()
	})
	if index < 0 {
		index = slices.IndexFunc(voters, func(voter *nodepb.Voter) bool {
			return voter.GetAddress() == joiner.GetAddress()
		})
	}
	if index < 0 {
		index = slices.IndexFunc(voters, func(voter *nodepb.Voter) bool {
			return s.replaceable(voter.GetDiskId()) && !slices.Contains(retained, voter.GetDiskId())
		})
	}
	if index < 0 {
		return append(voters, joiner)
	}
	voters[index] = joiner
	return voters
}

// replaceable reports whether a joiner may take the voter's place.
func (s *Reconfiguration) replaceable(diskID string) bool {
	return s.condition(diskID) == Failed && !s.isJoiner(diskID)
}

func (s *Reconfiguration) failedForLong(diskID string) bool {
	return diskID != s.Self && s.Detector.FailedFor(diskID) >= RemovalTimeout
}

// removableVoters lists voters that have been out of reach for long, if enough others stay and all those are in reach.
func (s *Reconfiguration) removableVoters(voters []*nodepb.Voter) []string {
	var removable []string
	for _, voter := range voters {
		diskID := voter.GetDiskId()
		switch {
		case s.isJoiner(diskID):
		case s.failedForLong(diskID):
			removable = append(removable, diskID)
		case s.condition(diskID) != Reachable:
			return nil
		}
	}
	if len(voters)-len(removable) < 2*s.Tolerance+1 {
		return nil
	}
	return removable
}

func (s *Reconfiguration) isJoiner(diskID string) bool {
	return slices.ContainsFunc(s.Joiners, func(joiner *nodepb.Voter) bool { return joiner.GetDiskId() == diskID })
}

func (s *Reconfiguration) reachesMajority(voters []*nodepb.Voter) bool {
	reached := 0
	for _, voter := range voters {
		if s.condition(voter.GetDiskId()) == Reachable || s.isJoiner(voter.GetDiskId()) {
			reached++
		}
	}
	return reached >= Majority(len(voters))
}

func (s *Reconfiguration) removedVoters(voters []*nodepb.Voter) []string {
	isVoter := func(diskID string) bool {
		return slices.ContainsFunc(voters, func(voter *nodepb.Voter) bool { return voter.GetDiskId() == diskID })
	}
	removed := slices.DeleteFunc(slices.Clone(s.View.GetRemovedVoters()), isVoter)
	for _, voter := range s.View.GetVoters() {
		if !isVoter(voter.GetDiskId()) {
			removed = append(removed, voter.GetDiskId())
		}
	}
	return removed[max(0, len(removed)-maxRemovedVoters):]
}
