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

// fakeDetector is a stated picture of who is in reach.
type fakeDetector struct {
	unknown       string // one letter a voter
	failed        string
	failedForLong string // missing for long
	brokenLinks   []string
	stalled       string
	// diskFault voters answer, but their disks are in trouble: they count as missing all the same.
	diskFault string
}

func (r fakeDetector) Condition(diskID string) Condition {
	switch {
	case strings.Contains(r.failed+r.failedForLong, diskID):
		return Failed
	case strings.Contains(r.unknown, diskID):
		return Unknown
	default:
		return Reachable
	}
}

func (r fakeDetector) FailedFor(diskID string) core.Time {
	switch {
	case strings.Contains(r.failedForLong, diskID):
		return RemovalTimeout
	case strings.Contains(r.failed, diskID):
		return 1500 * time.Millisecond
	default:
		return 0
	}
}

func (r fakeDetector) Unreachable(diskID string) bool {
	return strings.Contains(r.failed+r.failedForLong, diskID) && !strings.Contains(r.diskFault, diskID)
}

func (r fakeDetector) LinkBroken(a, b string) bool {
	return slices.Contains(r.brokenLinks, a+b) || slices.Contains(r.brokenLinks, b+a)
}

func (r fakeDetector) Stalled(diskID string) bool { return strings.Contains(r.stalled, diskID) }

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

// TestNextViewFollowsTheRules are the rules for proposals: docs/design/system.md, "Control state".
func TestNextViewFollowsTheRules(t *testing.T) {
	for name, c := range map[string]struct {
		voters, chain string
		self          string
		tolerance     int
		reach         fakeDetector
		joiners       string
		leaving       bool
		wedged        bool
		wanted        bool
		next          string // chain and voters, empty for none
	}{
		"calm":                         {voters: "abcd", chain: "abcd", self: "a", tolerance: 1},
		"calm, seen from the tail":     {voters: "abcd", chain: "abcd", self: "d", tolerance: 1},
		"a member is missing":          {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: fakeDetector{failed: "c"}, wanted: true, next: "abd abcd"},
		"the head is missing":          {voters: "abcd", chain: "abcd", self: "b", tolerance: 1, reach: fakeDetector{failed: "a"}, wanted: true, next: "bcd abcd"},
		"the proposer is first":        {voters: "abcd", chain: "abcd", self: "c", tolerance: 1, reach: fakeDetector{failed: "d"}, wanted: true, next: "cab abcd"},
		"a voter outside is missing":   {voters: "abcd", chain: "abc", self: "a", tolerance: 1, reach: fakeDetector{failed: "d"}},
		"a voter outside is lost":      {voters: "abcd", chain: "abc", self: "a", tolerance: 1, reach: fakeDetector{failedForLong: "d"}, wanted: true, next: "abc abc"},
		"only the head drops":          {voters: "abcd", chain: "abc", self: "b", tolerance: 1, reach: fakeDetector{failedForLong: "d"}},
		"never below 2f+1":             {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: fakeDetector{failedForLong: "c"}},
		"nor with another in doubt":    {voters: "abcde", chain: "abc", self: "a", tolerance: 1, reach: fakeDetector{failedForLong: "d", unknown: "e"}},
		"nor with another missing":     {voters: "abcde", chain: "abc", self: "a", tolerance: 1, reach: fakeDetector{failedForLong: "d", failed: "e"}},
		"two lost of six":              {voters: "abcdef", chain: "abcd", self: "a", tolerance: 2, reach: fakeDetector{failedForLong: "ef"}},
		"two lost of eight":            {voters: "abcdefgh", chain: "abcdef", self: "a", tolerance: 2, reach: fakeDetector{failedForLong: "gh"}, wanted: true, next: "abcdef abcdef"},
		"no majority":                  {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: fakeDetector{failed: "cd"}, wanted: true},
		"a joiner that is a voter":     {voters: "abcd", chain: "abc", self: "a", tolerance: 1, joiners: "d", wanted: true, next: "abcd abcd"},
		"a new joiner":                 {voters: "abc", chain: "abc", self: "a", tolerance: 1, joiners: "d", wanted: true, next: "abcd abcd"},
		"a joiner for a missing voter": {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: fakeDetector{failed: "c"}, joiners: "d", wanted: true, next: "abd abd"},
		"a joiner for a lost voter":    {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: fakeDetector{failedForLong: "c"}, joiners: "d", wanted: true, next: "abd abd"},
		"two joiners, one lost":        {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: fakeDetector{failedForLong: "c", failed: "de"}, joiners: "de", wanted: true, next: "abde abde"},
		"in doubt is left out":         {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: fakeDetector{failed: "d", unknown: "c"}, wanted: true},
		"a broken link":                {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: fakeDetector{brokenLinks: []string{"bd"}}, wanted: true, next: "abc abcd"},
		"one with many broken links":   {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: fakeDetector{brokenLinks: []string{"bd", "bc"}}, wanted: true, next: "acd abcd"},
		"a broken link to itself":      {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: fakeDetector{brokenLinks: []string{"ab"}}, wanted: true, next: "acd abcd"},
		"too short for now":            {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: fakeDetector{failed: "b"}, wanted: true},
		"short, the other is lost":     {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: fakeDetector{failedForLong: "b"}, wanted: true, next: "a abc"},
		"short, but with a joiner":     {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: fakeDetector{failed: "b"}, joiners: "c", wanted: true, next: "ac abc"},
		"the head leaves":              {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, leaving: true, wanted: true, next: "bcd abcd"},
		"the tail leaves":              {voters: "abcd", chain: "abcd", self: "d", tolerance: 1, leaving: true, wanted: true, next: "abc abcd"},
		"the head leaves a short one":  {voters: "abc", chain: "ab", self: "a", tolerance: 1, leaving: true, wanted: true, next: "ba abc"},
		"the tail leaves a short one":  {voters: "abc", chain: "ab", self: "b", tolerance: 1, leaving: true},
		"alone it stays":               {voters: "a", chain: "a", self: "a", leaving: true},
		"wedged, all well":             {voters: "abc", chain: "abc", self: "b", tolerance: 1, wedged: true, wanted: true, next: "bac abc"},
		"the head is stuck":            {voters: "abc", chain: "abc", self: "b", tolerance: 1, reach: fakeDetector{stalled: "a"}, wanted: true, next: "bac abc"},
	} {
		situation := Reconfiguration{
			View: viewOf(c.voters, c.chain), Self: c.self, Tolerance: c.tolerance, Detector: c.reach,
			Joiners: votersOf(c.joiners), Leaving: c.leaving, Wedged: c.wedged,
		}
		assert.Equal(t, situation.Needed(), c.wanted, name)
		if !c.wanted {
			continue
		}
		got := ""
		if next := situation.NextView(); next != nil {
			assert.Assert(t, Valid(next), name)
			assert.Equal(t, next.GetEpoch(), uint64(5), name)
			got = strings.Join(next.GetChain(), "") + " " + strings.Join(DiskIDs(next), "")
		}
		if strings.Contains(name, "in doubt is left out") {
			assert.Assert(t, !situation.ProposersKnown(), name)
			continue
		}
		assert.Equal(t, got, c.next, name)
	}
}

// TestJoinerReplacesTheVoterAtItsAddress: the joiner speaks at the address of a voter, whose disk is therefore gone.
func TestJoinerReplacesTheVoterAtItsAddress(t *testing.T) {
	joiner := &nodepb.Voter{DiskId: "z", Address: "addr-c"}
	situation := Reconfiguration{
		View: viewOf("abc", "abc"), Self: "a", Tolerance: 1, Detector: fakeDetector{failed: "c"}, Joiners: []*nodepb.Voter{joiner},
	}
	next := situation.NextView()
	assert.DeepEqual(t, next.GetChain(), []string{"a", "b", "z"})
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "b", "z"})
	assert.DeepEqual(t, next.GetRemovedVoters(), []string{"c"})
}

// TestMemberUnreachableExcludesDiskFaults: a view says whether it leaves out a machine that can't be reached; one that leaves, or whose disk alone is in
// trouble, is not lost.
func TestMemberUnreachableExcludesDiskFaults(t *testing.T) {
	for name, c := range map[string]struct {
		situation Reconfiguration
		lost      bool
	}{
		"a member is lost":           {Reconfiguration{Self: "a", Detector: fakeDetector{failed: "b"}}, true},
		"its disk fails":             {Reconfiguration{Self: "a", Detector: fakeDetector{failed: "b", diskFault: "b"}}, false},
		"a joiner comes":             {Reconfiguration{Self: "a", Detector: fakeDetector{}, Joiners: votersOf("d")}, false},
		"the proposer leaves":        {Reconfiguration{Self: "a", Detector: fakeDetector{}, Leaving: true}, false},
		"another one is not reached": {Reconfiguration{Self: "a", Detector: fakeDetector{failed: "c"}, Leaving: true}, true},
	} {
		c.situation.View, c.situation.Tolerance = viewOf("abc", "abc"), 1
		assert.Equal(t, c.situation.NextView().GetMemberUnreachable(), c.lost, name)
	}
}

func TestRemovedVotersAreBounded(t *testing.T) {
	v := viewOf("abcd", "abc")
	for range 40 {
		v.RemovedVoters = append(v.RemovedVoters, "older")
	}
	v.RemovedVoters = append(v.RemovedVoters, "b")
	situation := Reconfiguration{View: v, Self: "a", Tolerance: 1, Detector: fakeDetector{failedForLong: "d"}}
	removed := situation.NextView().GetRemovedVoters()
	assert.Equal(t, len(removed), maxRemovedVoters)
	assert.Equal(t, removed[maxRemovedVoters-1], "d")
	assert.Assert(t, !slices.Contains(removed, "b"), "who is a voter is not removed")
}

// TestOffChainReplicasOfAShortChainMayPropose: a view that acknowledges nothing does not keep those from proposing that hold the state.
func TestOffChainReplicasOfAShortChainMayPropose(t *testing.T) {
	full := viewOf("abcdef", "abcd")
	full.MinChainLength = 3
	next := (&Reconfiguration{View: full, Self: "a", Tolerance: 2, Detector: fakeDetector{failedForLong: "cd"}}).NextView()
	assert.DeepEqual(t, next.GetChain(), []string{"a", "b"})
	assert.Assert(t, !CanAcknowledge(next))
	assert.DeepEqual(t, next.GetOffChainReplicas(), []string{"c", "d"})
	assert.DeepEqual(t, EligibleProposers(next), []string{"a", "b", "c", "d"})

	calm := &Reconfiguration{View: next, Self: "c", Tolerance: 2, Detector: fakeDetector{failedForLong: "a", failed: "b"}}
	assert.Assert(t, calm.Needed(), "the chain is broken")
	assert.Assert(t, calm.NextView() == nil, "one of it may return")
	assert.Equal(t, calm.ProposerRank(), 0)

	rescue := (&Reconfiguration{View: next, Self: "c", Tolerance: 2, Detector: fakeDetector{failedForLong: "ab"}}).NextView()
	assert.DeepEqual(t, rescue.GetChain(), []string{"c", "d"})
	assert.DeepEqual(t, rescue.GetOffChainReplicas(), []string{"a", "b"})

	longer := &Reconfiguration{View: next, Self: "c", Tolerance: 2, Detector: fakeDetector{failedForLong: "a"}}
	assert.Assert(t, longer.Needed())
	assert.DeepEqual(t, longer.NextView().GetChain(), []string{"c", "b", "d"})
	assert.Equal(t, len(longer.NextView().GetOffChainReplicas()), 0, "it acknowledges")
	assert.Equal(t, longer.ProposerRank(), 1)
}

// TestOffChainReplicasStayVoters: a machine that holds the state is neither dropped nor replaced by another, but gives way to its own
// new disk.
func TestOffChainReplicasStayVoters(t *testing.T) {
	short := viewOf("abcd", "a")
	short.MinChainLength = 2
	short.OffChainReplicas = []string{"b"}
	joiners := []*nodepb.Voter{{DiskId: "z", Address: "addr-z"}}
	situation := Reconfiguration{View: short, Self: "a", Tolerance: 2, Detector: fakeDetector{failedForLong: "b"}, Joiners: joiners}
	next := situation.NextView()
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "b", "c", "d", "z"})
	assert.DeepEqual(t, next.GetOffChainReplicas(), []string{"b"})

	situation.Joiners = []*nodepb.Voter{{DiskId: "y", Address: "addr-b"}}
	next = situation.NextView()
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "y", "c", "d"})
	assert.Equal(t, len(next.GetOffChainReplicas()), 0)
}

func TestProposerRankCountsReachableProposers(t *testing.T) {
	rank := func(self string, r fakeDetector, leaving bool) int {
		situation := Reconfiguration{View: viewOf("abcd", "abcd"), Self: self, Detector: r, Leaving: leaving}
		return situation.ProposerRank()
	}
	assert.Equal(t, rank("a", fakeDetector{}, false), 0)
	assert.Equal(t, rank("c", fakeDetector{}, false), 2)
	assert.Equal(t, rank("c", fakeDetector{failed: "a"}, false), 1)
	assert.Equal(t, rank("c", fakeDetector{failed: "a", stalled: "b"}, false), 0)
	assert.Equal(t, rank("d", fakeDetector{}, true), 0)
}

func TestViewLookups(t *testing.T) {
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
	for voters, by := range map[string]uint32{"a": 1, "ab": 2, "abc": 2} {
		first := FirstView(votersOf(voters), 1)
		assert.Equal(t, first.GetMinChainLength(), by)
		assert.Assert(t, Valid(first) && CanAcknowledge(first))
	}
}

func TestValidRejectsMalformedViews(t *testing.T) {
	assert.Assert(t, Valid(viewOf("abc", "ca")))
	assert.Assert(t, !Valid(nil))
	assert.Assert(t, !Valid(viewOf("abc", "ad")), "a chain of others")
	assert.Assert(t, !Valid(viewOf("abc", "aba")), "twice in the chain")
	assert.Assert(t, !Valid(viewOf("aba", "a")), "twice a voter")
	assert.Assert(t, !Valid(&nodepb.View{Epoch: 1, Voters: votersOf("a")}), "no chain")
}
