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

// fakeDetector is a failure detector with fixed results. Its strings name voters by one letter
// each.
type fakeDetector struct {
	unknown       string
	failed        string
	failedForLong string // for RemovalTimeout
	brokenLinks   []string
	stalled       string
	diskFault     string // of those that failed, the ones that are reachable
}

func (f fakeDetector) Condition(diskID string) Condition {
	switch {
	case strings.Contains(f.failed+f.failedForLong, diskID):
		return Failed
	case strings.Contains(f.unknown, diskID):
		return Unknown
	default:
		return Reachable
	}
}

func (f fakeDetector) FailedFor(diskID string) core.Time {
	switch {
	case strings.Contains(f.failedForLong, diskID):
		return RemovalTimeout
	case strings.Contains(f.failed, diskID):
		return 1500 * time.Millisecond
	default:
		return 0
	}
}

func (f fakeDetector) Unreachable(diskID string) bool {
	return strings.Contains(f.failed+f.failedForLong, diskID) && !strings.Contains(f.diskFault, diskID)
}

func (f fakeDetector) LinkBroken(a, b string) bool {
	return slices.Contains(f.brokenLinks, a+b) || slices.Contains(f.brokenLinks, b+a)
}

func (f fakeDetector) Stalled(diskID string) bool { return strings.Contains(f.stalled, diskID) }

func votersOf(names string) []*nodepb.Voter {
	var voters []*nodepb.Voter
	for _, name := range names {
		voters = append(voters, &nodepb.Voter{DiskId: string(name), Address: "addr-" + string(name)})
	}
	return voters
}

func viewOf(voters, chain string) *nodepb.View {
	return &nodepb.View{Epoch: 4, Voters: votersOf(voters), Chain: strings.Split(chain, "")}
}

// nextViewRule is one situation of a proposer and the view that it must propose.
type nextViewRule struct {
	voters, chain string
	self          string
	tolerance     int
	detector      fakeDetector
	joiners       string
	leaving       bool
	wedged        bool
	needed        bool
	unknown       bool   // a proposer is Unknown: no view is proposed yet
	next          string // chain and voters, empty for none
}

// nextViewRules are the rules for proposals: docs/design/system.md, "Control state".
var nextViewRules = map[string]nextViewRule{
	"nothing has failed":                            {voters: "abcd", chain: "abcd", self: "a", tolerance: 1},
	"nothing has failed, seen from the tail":        {voters: "abcd", chain: "abcd", self: "d", tolerance: 1},
	"a member has failed":                           {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, detector: fakeDetector{failed: "c"}, needed: true, next: "abd abcd"},
	"the head has failed":                           {voters: "abcd", chain: "abcd", self: "b", tolerance: 1, detector: fakeDetector{failed: "a"}, needed: true, next: "bcd abcd"},
	"the proposer becomes the head":                 {voters: "abcd", chain: "abcd", self: "c", tolerance: 1, detector: fakeDetector{failed: "d"}, needed: true, next: "cab abcd"},
	"a voter outside the chain has failed":          {voters: "abcd", chain: "abc", self: "a", tolerance: 1, detector: fakeDetector{failed: "d"}},
	"a voter outside the chain has failed for long": {voters: "abcd", chain: "abc", self: "a", tolerance: 1, detector: fakeDetector{failedForLong: "d"}, needed: true, next: "abc abc"},
	"only the head removes voters":                  {voters: "abcd", chain: "abc", self: "b", tolerance: 1, detector: fakeDetector{failedForLong: "d"}},
	"never fewer voters than 2f+1":                  {voters: "abc", chain: "ab", self: "a", tolerance: 1, detector: fakeDetector{failedForLong: "c"}},
	"no removal with another voter unknown":         {voters: "abcde", chain: "abc", self: "a", tolerance: 1, detector: fakeDetector{failedForLong: "d", unknown: "e"}},
	"no removal with another voter failed":          {voters: "abcde", chain: "abc", self: "a", tolerance: 1, detector: fakeDetector{failedForLong: "d", failed: "e"}},
	"two failed for long of six":                    {voters: "abcdef", chain: "abcd", self: "a", tolerance: 2, detector: fakeDetector{failedForLong: "ef"}},
	"two failed for long of eight":                  {voters: "abcdefgh", chain: "abcdef", self: "a", tolerance: 2, detector: fakeDetector{failedForLong: "gh"}, needed: true, next: "abcdef abcdef"},
	"no majority":                                   {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, detector: fakeDetector{failed: "cd"}, needed: true},
	"a joiner that is a voter":                      {voters: "abcd", chain: "abc", self: "a", tolerance: 1, joiners: "d", needed: true, next: "abcd abcd"},
	"a new joiner":                                  {voters: "abc", chain: "abc", self: "a", tolerance: 1, joiners: "d", needed: true, next: "abcd abcd"},
	"a joiner for a failed voter":                   {voters: "abc", chain: "ab", self: "a", tolerance: 1, detector: fakeDetector{failed: "c"}, joiners: "d", needed: true, next: "abd abd"},
	"a joiner for a voter failed for long":          {voters: "abc", chain: "ab", self: "a", tolerance: 1, detector: fakeDetector{failedForLong: "c"}, joiners: "d", needed: true, next: "abd abd"},
	"two joiners, one failed for long":              {voters: "abc", chain: "ab", self: "a", tolerance: 1, detector: fakeDetector{failedForLong: "c", failed: "de"}, joiners: "de", needed: true, next: "abde abde"},
	"unknown members are left out":                  {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, detector: fakeDetector{failed: "d", unknown: "c"}, needed: true, unknown: true},
	"a broken link":                                 {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, detector: fakeDetector{brokenLinks: []string{"bd"}}, needed: true, next: "abc abcd"},
	"one with many broken links":                    {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, detector: fakeDetector{brokenLinks: []string{"bd", "bc"}}, needed: true, next: "acd abcd"},
	"a broken link to itself":                       {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, detector: fakeDetector{brokenLinks: []string{"ab"}}, needed: true, next: "acd abcd"},
	"too short while the other may return":          {voters: "abc", chain: "ab", self: "a", tolerance: 1, detector: fakeDetector{failed: "b"}, needed: true},
	"short, the other has failed for long":          {voters: "abc", chain: "ab", self: "a", tolerance: 1, detector: fakeDetector{failedForLong: "b"}, needed: true, next: "a abc"},
	"short, but with a joiner":                      {voters: "abc", chain: "ab", self: "a", tolerance: 1, detector: fakeDetector{failed: "b"}, joiners: "c", needed: true, next: "ac abc"},
	"the head leaves":                               {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, leaving: true, needed: true, next: "bcd abcd"},
	"the tail leaves":                               {voters: "abcd", chain: "abcd", self: "d", tolerance: 1, leaving: true, needed: true, next: "abc abcd"},
	"the head leaves a short chain":                 {voters: "abc", chain: "ab", self: "a", tolerance: 1, leaving: true, needed: true, next: "ba abc"},
	"the tail leaves a short chain":                 {voters: "abc", chain: "ab", self: "b", tolerance: 1, leaving: true},
	"the only member stays":                         {voters: "a", chain: "a", self: "a", leaving: true},
	"wedged, nothing has failed":                    {voters: "abc", chain: "abc", self: "b", tolerance: 1, wedged: true, needed: true, next: "bac abc"},
	"the head has stalled":                          {voters: "abc", chain: "abc", self: "b", tolerance: 1, detector: fakeDetector{stalled: "a"}, needed: true, next: "bac abc"},
}

func TestNextViewFollowsTheRules(t *testing.T) {
	for name, rule := range nextViewRules {
		t.Run(name, rule.check)
	}
}

func (c nextViewRule) check(t *testing.T) {
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
	if c.unknown {
		assert.Assert(t, !reconfiguration.ProposersKnown())
		return
	}
	assert.Equal(t, proposed, c.next)
}

// TestJoinerReplacesTheVoterAtItsAddress: the joiner has the address of a voter, whose disk is
// therefore gone.
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

// TestMemberUnreachableExcludesDiskFaults: a view says whether it leaves out an unreachable member;
// one that leaves, or has a disk fault alone, is not unreachable.
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

func TestRemovedVotersAreBounded(t *testing.T) {
	v := viewOf("abcd", "abc")
	for range 40 {
		v.RemovedVoters = append(v.RemovedVoters, "older")
	}
	v.RemovedVoters = append(v.RemovedVoters, "b")
	reconfiguration := Reconfiguration{View: v, Self: "a", Tolerance: 1, Detector: fakeDetector{failedForLong: "d"}}
	removed := reconfiguration.NextView().GetRemovedVoters()
	assert.Equal(t, len(removed), maxRemovedVoters)
	assert.Equal(t, removed[maxRemovedVoters-1], "d")
	assert.Assert(t, !slices.Contains(removed, "b"), "a voter is not among the removed")
}

// TestOffChainReplicasOfAShortChainMayPropose: in a view that can't acknowledge, those that hold
// the state may propose too.
func TestOffChainReplicasOfAShortChainMayPropose(t *testing.T) {
	full := viewOf("abcdef", "abcd")
	full.MinChainLength = 3
	next := (&Reconfiguration{View: full, Self: "a", Tolerance: 2, Detector: fakeDetector{failedForLong: "cd"}}).NextView()
	assert.DeepEqual(t, next.GetChain(), []string{"a", "b"})
	assert.Assert(t, !CanAcknowledge(next))
	assert.DeepEqual(t, next.GetOffChainReplicas(), []string{"c", "d"})
	assert.DeepEqual(t, EligibleProposers(next), []string{"a", "b", "c", "d"})

	waiting := &Reconfiguration{View: next, Self: "c", Tolerance: 2, Detector: fakeDetector{failedForLong: "a", failed: "b"}}
	assert.Assert(t, waiting.Needed(), "the chain is broken")
	assert.Assert(t, waiting.NextView() == nil, "a member of the chain may return")
	assert.Equal(t, waiting.ProposerRank(), 0)

	rescue := (&Reconfiguration{View: next, Self: "c", Tolerance: 2, Detector: fakeDetector{failedForLong: "ab"}}).NextView()
	assert.DeepEqual(t, rescue.GetChain(), []string{"c", "d"})
	assert.DeepEqual(t, rescue.GetOffChainReplicas(), []string{"a", "b"})

	longer := &Reconfiguration{View: next, Self: "c", Tolerance: 2, Detector: fakeDetector{failedForLong: "a"}}
	assert.Assert(t, longer.Needed())
	assert.DeepEqual(t, longer.NextView().GetChain(), []string{"c", "b", "d"})
	assert.Equal(t, len(longer.NextView().GetOffChainReplicas()), 0, "it can acknowledge")
	assert.Equal(t, longer.ProposerRank(), 1)
}

// TestOffChainReplicasStayVoters: a replica that holds the state is neither removed nor replaced by
// another machine, but by a new disk at its own address.
func TestOffChainReplicasStayVoters(t *testing.T) {
	short := viewOf("abcd", "a")
	short.MinChainLength = 2
	short.OffChainReplicas = []string{"b"}
	joiners := []*nodepb.Voter{{DiskId: "z", Address: "addr-z"}}
	reconfiguration := Reconfiguration{View: short, Self: "a", Tolerance: 2, Detector: fakeDetector{failedForLong: "b"}, Joiners: joiners}
	next := reconfiguration.NextView()
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "b", "c", "d", "z"})
	assert.DeepEqual(t, next.GetOffChainReplicas(), []string{"b"})

	reconfiguration.Joiners = []*nodepb.Voter{{DiskId: "y", Address: "addr-b"}}
	next = reconfiguration.NextView()
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "y", "c", "d"})
	assert.Equal(t, len(next.GetOffChainReplicas()), 0)
}

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
	assert.Assert(t, !Valid(viewOf("abc", "ad")), "a chain of strangers")
	assert.Assert(t, !Valid(viewOf("abc", "aba")), "twice in the chain")
	assert.Assert(t, !Valid(viewOf("aba", "a")), "twice a voter")
	assert.Assert(t, !Valid(&nodepb.View{Epoch: 1, Voters: votersOf("a")}), "no chain")
}
