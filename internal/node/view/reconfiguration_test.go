package view

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

// fakeDetector is a FailureDetector with fixed results. Each string lists voters, whose disk ids have one letter.
type fakeDetector struct {
	unknown            string   // voters that are Unknown
	failed             string   // voters that have failed, but for less than RemovalTimeout
	pastRemovalTimeout string   // voters that have failed for RemovalTimeout
	brokenLinks        []string // pairs of voters
	stalled            string   // voters that have stalled
	diskFault          string   // failed voters that are reachable, having only a disk fault
}

func (f fakeDetector) Condition(diskID string) Condition {
	switch {
	case strings.Contains(f.failed+f.pastRemovalTimeout, diskID):
		return Failed
	case strings.Contains(f.unknown, diskID):
		return Unknown
	default:
		return Reachable
	}
}

func (f fakeDetector) FailedFor(diskID string) core.Time {
	switch {
	case strings.Contains(f.pastRemovalTimeout, diskID):
		return RemovalTimeout
	case strings.Contains(f.failed, diskID):
		return 1500 * time.Millisecond
	default:
		return 0
	}
}

func (f fakeDetector) Unreachable(diskID string) bool {
	return strings.Contains(f.failed+f.pastRemovalTimeout, diskID) && !strings.Contains(f.diskFault, diskID)
}

func (f fakeDetector) LinkBroken(a, b string) bool {
	return slices.Contains(f.brokenLinks, a+b) || slices.Contains(f.brokenLinks, b+a)
}

func (f fakeDetector) Stalled(diskID string) bool { return strings.Contains(f.stalled, diskID) }

// votersOf returns a voter for each letter of names, which is its disk id.
func votersOf(names string) []*nodepb.Voter {
	var voters []*nodepb.Voter
	for _, name := range names {
		voters = append(voters, &nodepb.Voter{DiskId: string(name), Address: "addr-" + string(name)})
	}
	return voters
}

// viewOf returns a view of epoch 4; each letter of voters and of chain is a disk id.
func viewOf(voters, chain string) *nodepb.View {
	return &nodepb.View{Epoch: 4, Voters: votersOf(voters), Chain: strings.Split(chain, "")}
}

// nextViewCase is one situation of a proposer, and the view that it must propose.
type nextViewCase struct {
	voters, chain   string // of the current view; each letter is a disk id
	self            string // disk id of the proposer
	tolerance       int
	detector        fakeDetector
	joiners         string // disk ids
	leaving         bool
	wedged          bool
	needed          bool   // whether the view should change
	unknownProposer bool   // whether an eligible proposer is Unknown, so that no view is proposed yet
	next            string // chain and voters of the next view, separated by a space; empty if no view can be proposed
}

// nextViewCases cover the rules for proposals in docs/design/system.md, "Control state".
var nextViewCases = map[string]nextViewCase{
	"nothing has failed": {
		voters: "abcd", chain: "abcd", self: "a", tolerance: 1,
	},
	"nothing has failed, evaluated by the tail": {
		voters: "abcd", chain: "abcd", self: "d", tolerance: 1,
	},
	"a member has failed": {
		voters: "abcd", chain: "abcd", self: "a", tolerance: 1,
		detector: fakeDetector{failed: "c"},
		needed:   true, next: "abd abcd",
	},
	"the head has failed": {
		voters: "abcd", chain: "abcd", self: "b", tolerance: 1,
		detector: fakeDetector{failed: "a"},
		needed:   true, next: "bcd abcd",
	},
	"the proposer becomes the head": {
		voters: "abcd", chain: "abcd", self: "c", tolerance: 1,
		detector: fakeDetector{failed: "d"},
		needed:   true, next: "cab abcd",
	},
	"a voter outside the chain has failed": {
		voters: "abcd", chain: "abc", self: "a", tolerance: 1,
		detector: fakeDetector{failed: "d"},
	},
	"a voter outside the chain reaches RemovalTimeout": {
		voters: "abcd", chain: "abc", self: "a", tolerance: 1,
		detector: fakeDetector{pastRemovalTimeout: "d"},
		needed:   true, next: "abc abc",
	},
	"only the head removes voters": {
		voters: "abcd", chain: "abc", self: "b", tolerance: 1,
		detector: fakeDetector{pastRemovalTimeout: "d"},
	},
	"no removal that leaves fewer voters than 2f+1": {
		voters: "abc", chain: "ab", self: "a", tolerance: 1,
		detector: fakeDetector{pastRemovalTimeout: "c"},
	},
	"no removal with another voter unknown": {
		voters: "abcde", chain: "abc", self: "a", tolerance: 1,
		detector: fakeDetector{pastRemovalTimeout: "d", unknown: "e"},
	},
	"no removal with another voter failed": {
		voters: "abcde", chain: "abc", self: "a", tolerance: 1,
		detector: fakeDetector{pastRemovalTimeout: "d", failed: "e"},
	},
	"two of six voters reach RemovalTimeout": {
		voters: "abcdef", chain: "abcd", self: "a", tolerance: 2,
		detector: fakeDetector{pastRemovalTimeout: "ef"},
	},
	"two of eight voters reach RemovalTimeout": {
		voters: "abcdefgh", chain: "abcdef", self: "a", tolerance: 2,
		detector: fakeDetector{pastRemovalTimeout: "gh"},
		needed:   true, next: "abcdef abcdef",
	},
	"no majority is reachable": {
		voters: "abcd", chain: "abcd", self: "a", tolerance: 1,
		detector: fakeDetector{failed: "cd"},
		needed:   true,
	},
	"a joiner that is already a voter": {
		voters: "abcd", chain: "abc", self: "a", tolerance: 1,
		joiners: "d",
		needed:  true, next: "abcd abcd",
	},
	"a new joiner": {
		voters: "abc", chain: "abc", self: "a", tolerance: 1,
		joiners: "d",
		needed:  true, next: "abcd abcd",
	},
	"a joiner replaces a failed voter": {
		voters: "abc", chain: "ab", self: "a", tolerance: 1,
		detector: fakeDetector{failed: "c"}, joiners: "d",
		needed: true, next: "abd abd",
	},
	"a joiner replaces a voter at RemovalTimeout": {
		voters: "abc", chain: "ab", self: "a", tolerance: 1,
		detector: fakeDetector{pastRemovalTimeout: "c"}, joiners: "d",
		needed: true, next: "abd abd",
	},
	"two joiners, one voter at RemovalTimeout": {
		voters: "abc", chain: "ab", self: "a", tolerance: 1,
		detector: fakeDetector{pastRemovalTimeout: "c", failed: "de"}, joiners: "de",
		needed: true, next: "abde abde",
	},
	"no proposal while a member is unknown": {
		voters: "abcd", chain: "abcd", self: "a", tolerance: 1,
		detector: fakeDetector{failed: "d", unknown: "c"},
		needed:   true, unknownProposer: true,
	},
	"a broken link between two members": {
		voters: "abcd", chain: "abcd", self: "a", tolerance: 1,
		detector: fakeDetector{brokenLinks: []string{"bd"}},
		needed:   true, next: "abc abcd",
	},
	"a member with several broken links": {
		voters: "abcd", chain: "abcd", self: "a", tolerance: 1,
		detector: fakeDetector{brokenLinks: []string{"bd", "bc"}},
		needed:   true, next: "acd abcd",
	},
	"a broken link to the proposer": {
		voters: "abcd", chain: "abcd", self: "a", tolerance: 1,
		detector: fakeDetector{brokenLinks: []string{"ab"}},
		needed:   true, next: "acd abcd",
	},
	"no short chain while the other may return": {
		voters: "abc", chain: "ab", self: "a", tolerance: 1,
		detector: fakeDetector{failed: "b"},
		needed:   true,
	},
	"short chain, the other reaches RemovalTimeout": {
		voters: "abc", chain: "ab", self: "a", tolerance: 1,
		detector: fakeDetector{pastRemovalTimeout: "b"},
		needed:   true, next: "a abc",
	},
	"a joiner makes the chain long enough": {
		voters: "abc", chain: "ab", self: "a", tolerance: 1,
		detector: fakeDetector{failed: "b"}, joiners: "c",
		needed: true, next: "ac abc",
	},
	"the head leaves": {
		voters: "abcd", chain: "abcd", self: "a", tolerance: 1,
		leaving: true,
		needed:  true, next: "bcd abcd",
	},
	"the tail leaves": {
		voters: "abcd", chain: "abcd", self: "d", tolerance: 1,
		leaving: true,
		needed:  true, next: "abc abcd",
	},
	"the head leaves a short chain": {
		voters: "abc", chain: "ab", self: "a", tolerance: 1,
		leaving: true,
		needed:  true, next: "ba abc",
	},
	"the tail leaves a short chain": {
		voters: "abc", chain: "ab", self: "b", tolerance: 1,
		leaving: true,
	},
	"the only member stays": {
		voters: "a", chain: "a", self: "a",
		leaving: true,
	},
	"wedged, nothing has failed": {
		voters: "abc", chain: "abc", self: "b", tolerance: 1,
		wedged: true,
		needed: true, next: "bac abc",
	},
	"the head has stalled": {
		voters: "abc", chain: "abc", self: "b", tolerance: 1,
		detector: fakeDetector{stalled: "a"},
		needed:   true, next: "bac abc",
	},
}

// TestNextViewFollowsTheRules checks for each of nextViewCases whether the view should change, and to what.
func TestNextViewFollowsTheRules(t *testing.T) {
	for name, testCase := range nextViewCases {
		t.Run(name, testCase.check)
	}
}

// check compares what Reconfiguration decides in this situation with the expected decision.
func (c nextViewCase) check(t *testing.T) {
	reconfiguration := Reconfiguration{
		View: viewOf(c.voters, c.chain), Self: c.self, Tolerance: c.tolerance, Detector: c.detector,
		Joiners: votersOf(c.joiners), Leaving: c.leaving, Wedged: c.wedged,
	}
	assert.Equal(t, reconfiguration.Needed(), c.needed)
	if !c.needed {
		return
	}
	proposed := ""
	if next := reconfiguration.NextView(); next != nil {
		assert.Assert(t, Valid(next))
		assert.Equal(t, next.GetEpoch(), uint64(5))
		proposed = strings.Join(next.GetChain(), "") + " " + strings.Join(DiskIDs(next), "")
	}
	if c.unknownProposer {
		assert.Assert(t, !reconfiguration.ProposersKnown())
		return
	}
	assert.Equal(t, proposed, c.next)
}

// TestJoinerReplacesTheVoterAtItsAddress checks that a joiner with a new disk replaces the voter at its address, whose
// disk is gone.
func TestJoinerReplacesTheVoterAtItsAddress(t *testing.T) {
	joiner := &nodepb.Voter{DiskId: "z", Address: "addr-c"}
	reconfiguration := Reconfiguration{
		View: viewOf("abc", "abc"), Self: "a", Tolerance: 1, Detector: fakeDetector{failed: "c"}, Joiners: []*nodepb.Voter{joiner},
	}
	next := reconfiguration.NextView()
	assert.DeepEqual(t, next.GetChain(), []string{"a", "b", "z"})
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "b", "z"})
	assert.DeepEqual(t, next.GetRemovedVoters(), []string{"c"})
}

// TestMemberUnreachableExcludesDiskFaults checks that a view records whether it omits an unreachable member. A member
// that is leaving or has only a disk fault is not unreachable.
func TestMemberUnreachableExcludesDiskFaults(t *testing.T) {
	for name, c := range map[string]struct {
		reconfiguration Reconfiguration
		unreachable     bool
	}{
		"a member is unreachable":                     {Reconfiguration{Self: "a", Detector: fakeDetector{failed: "b"}}, true},
		"its disk has a fault":                        {Reconfiguration{Self: "a", Detector: fakeDetector{failed: "b", diskFault: "b"}}, false},
		"a joiner is added":                           {Reconfiguration{Self: "a", Detector: fakeDetector{}, Joiners: votersOf("d")}, false},
		"the proposer leaves":                         {Reconfiguration{Self: "a", Detector: fakeDetector{}, Leaving: true}, false},
		"the proposer leaves, another is unreachable": {Reconfiguration{Self: "a", Detector: fakeDetector{failed: "c"}, Leaving: true}, true},
	} {
		c.reconfiguration.View, c.reconfiguration.Tolerance = viewOf("abc", "abc"), 1
		assert.Equal(t, c.reconfiguration.NextView().GetMemberUnreachable(), c.unreachable, name)
	}
}

// TestRemovedVotersAreBounded checks that a view lists only the last maxRemovedVoters removed voters, and none of its own
// voters.
func TestRemovedVotersAreBounded(t *testing.T) {
	v := viewOf("abcd", "abc")
	for range 40 {
		v.RemovedVoters = append(v.RemovedVoters, "older")
	}
	v.RemovedVoters = append(v.RemovedVoters, "b")
	reconfiguration := Reconfiguration{View: v, Self: "a", Tolerance: 1, Detector: fakeDetector{pastRemovalTimeout: "d"}}
	removed := reconfiguration.NextView().GetRemovedVoters()
	assert.Equal(t, len(removed), maxRemovedVoters)
	assert.Equal(t, removed[maxRemovedVoters-1], "d")
	assert.Assert(t, !slices.Contains(removed, "b"), "a current voter is listed as removed")
}

// TestOffChainReplicasOfAShortChainMayPropose checks that the off-chain replicas of a view that can't acknowledge, which
// hold the state as well, may propose the next view.
func TestOffChainReplicasOfAShortChainMayPropose(t *testing.T) {
	full := viewOf("abcdef", "abcd")
	full.MinChainLength = 3
	next := (&Reconfiguration{View: full, Self: "a", Tolerance: 2, Detector: fakeDetector{pastRemovalTimeout: "cd"}}).NextView()
	assert.DeepEqual(t, next.GetChain(), []string{"a", "b"})
	assert.Assert(t, !CanAcknowledge(next))
	assert.DeepEqual(t, next.GetOffChainReplicas(), []string{"c", "d"})
	assert.DeepEqual(t, EligibleProposers(next), []string{"a", "b", "c", "d"})

	tooEarly := &Reconfiguration{View: next, Self: "c", Tolerance: 2, Detector: fakeDetector{pastRemovalTimeout: "a", failed: "b"}}
	assert.Assert(t, tooEarly.Needed(), "the members of the chain have failed")
	assert.Assert(t, tooEarly.NextView() == nil, "b has not reached RemovalTimeout and may return")
	assert.Equal(t, tooEarly.ProposerRank(), 0)

	bothLost := (&Reconfiguration{View: next, Self: "c", Tolerance: 2, Detector: fakeDetector{pastRemovalTimeout: "ab"}}).NextView()
	assert.DeepEqual(t, bothLost.GetChain(), []string{"c", "d"})
	assert.DeepEqual(t, bothLost.GetOffChainReplicas(), []string{"a", "b"})

	oneLost := &Reconfiguration{View: next, Self: "c", Tolerance: 2, Detector: fakeDetector{pastRemovalTimeout: "a"}}
	assert.Assert(t, oneLost.Needed())
	assert.DeepEqual(t, oneLost.NextView().GetChain(), []string{"c", "b", "d"})
	assert.Equal(t, len(oneLost.NextView().GetOffChainReplicas()), 0, "a view that can acknowledge lists no off-chain replicas")
	assert.Equal(t, oneLost.ProposerRank(), 1)
}

// TestOffChainReplicasStayVoters checks that an off-chain replica, which holds the state, is neither removed nor replaced
// by another machine. Only a new disk at its own address replaces it.
func TestOffChainReplicasStayVoters(t *testing.T) {
	short := viewOf("abcd", "a")
	short.MinChainLength = 2
	short.OffChainReplicas = []string{"b"}
	joiners := []*nodepb.Voter{{DiskId: "z", Address: "addr-z"}}
	reconfiguration := Reconfiguration{View: short, Self: "a", Tolerance: 2, Detector: fakeDetector{pastRemovalTimeout: "b"}, Joiners: joiners}
	next := reconfiguration.NextView()
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "b", "c", "d", "z"})
	assert.DeepEqual(t, next.GetOffChainReplicas(), []string{"b"})

	reconfiguration.Joiners = []*nodepb.Voter{{DiskId: "y", Address: "addr-b"}}
	next = reconfiguration.NextView()
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "y", "c", "d"})
	assert.Equal(t, len(next.GetOffChainReplicas()), 0)
}

// TestProposerRankCountsReachableProposers checks that failed and stalled proposers don't count, and that a leaving node
// has rank 0.
func TestProposerRankCountsReachableProposers(t *testing.T) {
	rank := func(self string, detector fakeDetector, leaving bool) int {
		reconfiguration := Reconfiguration{View: viewOf("abcd", "abcd"), Self: self, Detector: detector, Leaving: leaving}
		return reconfiguration.ProposerRank()
	}
	assert.Equal(t, rank("a", fakeDetector{}, false), 0)
	assert.Equal(t, rank("c", fakeDetector{}, false), 2)
	assert.Equal(t, rank("c", fakeDetector{failed: "a"}, false), 1)
	assert.Equal(t, rank("c", fakeDetector{failed: "a", stalled: "b"}, false), 0)
	assert.Equal(t, rank("d", fakeDetector{}, true), 0)
}

// TestHeadTailAndSuccessorFollowTheChain checks the positions in a chain whose order differs from that of the voters,
// the sizes of majorities, and the minimum chain length of first views.
func TestHeadTailAndSuccessorFollowTheChain(t *testing.T) {
	v := viewOf("abcd", "cab")
	assert.Equal(t, Head(v).GetDiskId(), "c")
	assert.Equal(t, Tail(v).GetDiskId(), "b")
	assert.Equal(t, Successor(v, "c").GetDiskId(), "a")
	assert.Assert(t, Successor(v, "b") == nil)
	assert.Assert(t, Successor(v, "d") == nil)
	assert.Equal(t, ChainIndex(v, "d"), -1)
	assert.Assert(t, Head(nil) == nil && Tail(nil) == nil)
	for members, majority := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 6: 4, 8: 5} {
		assert.Equal(t, Majority(members), majority)
	}
	for voters, minLength := range map[string]uint32{"a": 1, "ab": 2, "abc": 2} {
		first := FirstView(votersOf(voters), 1)
		assert.Equal(t, first.GetMinChainLength(), minLength)
		assert.Assert(t, Valid(first) && CanAcknowledge(first))
	}
}

func TestValidRejectsMalformedViews(t *testing.T) {
	assert.Assert(t, Valid(viewOf("abc", "ca")))
	assert.Assert(t, !Valid(nil))
	assert.Assert(t, !Valid(viewOf("abc", "ad")), "the chain has a member that is not a voter")
	assert.Assert(t, !Valid(viewOf("abc", "aba")), "the chain has a member twice")
	assert.Assert(t, !Valid(viewOf("aba", "a")), "a voter is listed twice")
	assert.Assert(t, !Valid(&nodepb.View{Epoch: 1, Voters: votersOf("a")}), "the chain is empty")
}
