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

// reach is a stated picture of who is in reach.
type reach struct {
	unknown string // one letter a voter
	missing string
	lost    string // missing for long
	broken  []string
	stuck   string
	// unhealthy voters answer, but their disks are in trouble: they count as missing all the same.
	unhealthy string
}

func (r reach) Condition(diskID string) Condition {
	switch {
	case strings.Contains(r.missing+r.lost, diskID):
		return Missing
	case strings.Contains(r.unknown, diskID):
		return Unknown
	default:
		return Reachable
	}
}

func (r reach) MissingFor(diskID string) core.Time {
	switch {
	case strings.Contains(r.lost, diskID):
		return DropAfter
	case strings.Contains(r.missing, diskID):
		return 1500 * time.Millisecond
	default:
		return 0
	}
}

func (r reach) OutOfReach(diskID string) bool {
	return strings.Contains(r.missing+r.lost, diskID) && !strings.Contains(r.unhealthy, diskID)
}

func (r reach) LinkBroken(a, b string) bool {
	return slices.Contains(r.broken, a+b) || slices.Contains(r.broken, b+a)
}

func (r reach) Stuck(diskID string) bool { return strings.Contains(r.stuck, diskID) }

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

// TestNext are the rules for proposals: docs/design/system.md, "Control state".
func TestNext(t *testing.T) {
	for name, c := range map[string]struct {
		voters, chain string
		self          string
		tolerance     int
		reach         reach
		joiners       string
		leaving       bool
		wedged        bool
		wanted        bool
		next          string // chain and voters, empty for none
	}{
		"calm":                         {voters: "abcd", chain: "abcd", self: "a", tolerance: 1},
		"calm, seen from the tail":     {voters: "abcd", chain: "abcd", self: "d", tolerance: 1},
		"a member is missing":          {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: reach{missing: "c"}, wanted: true, next: "abd abcd"},
		"the head is missing":          {voters: "abcd", chain: "abcd", self: "b", tolerance: 1, reach: reach{missing: "a"}, wanted: true, next: "bcd abcd"},
		"the proposer is first":        {voters: "abcd", chain: "abcd", self: "c", tolerance: 1, reach: reach{missing: "d"}, wanted: true, next: "cab abcd"},
		"a voter outside is missing":   {voters: "abcd", chain: "abc", self: "a", tolerance: 1, reach: reach{missing: "d"}},
		"a voter outside is lost":      {voters: "abcd", chain: "abc", self: "a", tolerance: 1, reach: reach{lost: "d"}, wanted: true, next: "abc abc"},
		"only the head drops":          {voters: "abcd", chain: "abc", self: "b", tolerance: 1, reach: reach{lost: "d"}},
		"never below 2f+1":             {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: reach{lost: "c"}},
		"nor with another in doubt":    {voters: "abcde", chain: "abc", self: "a", tolerance: 1, reach: reach{lost: "d", unknown: "e"}},
		"nor with another missing":     {voters: "abcde", chain: "abc", self: "a", tolerance: 1, reach: reach{lost: "d", missing: "e"}},
		"two lost of six":              {voters: "abcdef", chain: "abcd", self: "a", tolerance: 2, reach: reach{lost: "ef"}},
		"two lost of eight":            {voters: "abcdefgh", chain: "abcdef", self: "a", tolerance: 2, reach: reach{lost: "gh"}, wanted: true, next: "abcdef abcdef"},
		"no majority":                  {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: reach{missing: "cd"}, wanted: true},
		"a joiner that is a voter":     {voters: "abcd", chain: "abc", self: "a", tolerance: 1, joiners: "d", wanted: true, next: "abcd abcd"},
		"a new joiner":                 {voters: "abc", chain: "abc", self: "a", tolerance: 1, joiners: "d", wanted: true, next: "abcd abcd"},
		"a joiner for a missing voter": {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: reach{missing: "c"}, joiners: "d", wanted: true, next: "abd abd"},
		"a joiner for a lost voter":    {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: reach{lost: "c"}, joiners: "d", wanted: true, next: "abd abd"},
		"two joiners, one lost":        {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: reach{lost: "c", missing: "de"}, joiners: "de", wanted: true, next: "abde abde"},
		"in doubt is left out":         {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: reach{missing: "d", unknown: "c"}, wanted: true},
		"a broken link":                {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: reach{broken: []string{"bd"}}, wanted: true, next: "abc abcd"},
		"one with many broken links":   {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: reach{broken: []string{"bd", "bc"}}, wanted: true, next: "acd abcd"},
		"a broken link to itself":      {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, reach: reach{broken: []string{"ab"}}, wanted: true, next: "acd abcd"},
		"too short for now":            {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: reach{missing: "b"}, wanted: true},
		"short, the other is lost":     {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: reach{lost: "b"}, wanted: true, next: "a abc"},
		"short, but with a joiner":     {voters: "abc", chain: "ab", self: "a", tolerance: 1, reach: reach{missing: "b"}, joiners: "c", wanted: true, next: "ac abc"},
		"the head leaves":              {voters: "abcd", chain: "abcd", self: "a", tolerance: 1, leaving: true, wanted: true, next: "bcd abcd"},
		"the tail leaves":              {voters: "abcd", chain: "abcd", self: "d", tolerance: 1, leaving: true, wanted: true, next: "abc abcd"},
		"the head leaves a short one":  {voters: "abc", chain: "ab", self: "a", tolerance: 1, leaving: true, wanted: true, next: "ba abc"},
		"the tail leaves a short one":  {voters: "abc", chain: "ab", self: "b", tolerance: 1, leaving: true},
		"alone it stays":               {voters: "a", chain: "a", self: "a", leaving: true},
		"wedged, all well":             {voters: "abc", chain: "abc", self: "b", tolerance: 1, wedged: true, wanted: true, next: "bac abc"},
		"the head is stuck":            {voters: "abc", chain: "abc", self: "b", tolerance: 1, reach: reach{stuck: "a"}, wanted: true, next: "bac abc"},
	} {
		situation := Situation{
			View: viewOf(c.voters, c.chain), Self: c.self, Tolerance: c.tolerance, Reach: c.reach,
			Joiners: votersOf(c.joiners), Leaving: c.leaving, Wedged: c.wedged,
		}
		assert.Equal(t, situation.Wanted(), c.wanted, name)
		if !c.wanted {
			continue
		}
		got := ""
		if next := situation.Next(); next != nil {
			assert.Assert(t, Valid(next), name)
			assert.Equal(t, next.GetEpoch(), uint64(5), name)
			got = strings.Join(next.GetChain(), "") + " " + strings.Join(DiskIDs(next), "")
		}
		if strings.Contains(name, "in doubt is left out") {
			assert.Assert(t, !situation.Settled(), name)
			continue
		}
		assert.Equal(t, got, c.next, name)
	}
}

// TestNewDiskReplacesTheOldOne: the joiner speaks at the address of a voter, whose disk is therefore gone.
func TestNewDiskReplacesTheOldOne(t *testing.T) {
	joiner := &nodepb.Voter{DiskId: "z", Address: "addr-c"}
	situation := Situation{
		View: viewOf("abc", "abc"), Self: "a", Tolerance: 1, Reach: reach{missing: "c"}, Joiners: []*nodepb.Voter{joiner},
	}
	next := situation.Next()
	assert.DeepEqual(t, next.GetChain(), []string{"a", "b", "z"})
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "b", "z"})
	assert.DeepEqual(t, next.GetRemoved(), []string{"c"})
}

// TestLostMachine: a view says whether it leaves out a machine that can't be reached; one that leaves, or whose disk alone is in
// trouble, is not lost.
func TestLostMachine(t *testing.T) {
	for name, c := range map[string]struct {
		situation Situation
		lost      bool
	}{
		"a member is lost":           {Situation{Self: "a", Reach: reach{missing: "b"}}, true},
		"its disk fails":             {Situation{Self: "a", Reach: reach{missing: "b", unhealthy: "b"}}, false},
		"a joiner comes":             {Situation{Self: "a", Reach: reach{}, Joiners: votersOf("d")}, false},
		"the proposer leaves":        {Situation{Self: "a", Reach: reach{}, Leaving: true}, false},
		"another one is not reached": {Situation{Self: "a", Reach: reach{missing: "c"}, Leaving: true}, true},
	} {
		c.situation.View, c.situation.Tolerance = viewOf("abc", "abc"), 1
		assert.Equal(t, c.situation.Next().GetLostMachine(), c.lost, name)
	}
}

func TestRemovedIsBounded(t *testing.T) {
	v := viewOf("abcd", "abc")
	for range 40 {
		v.Removed = append(v.Removed, "older")
	}
	v.Removed = append(v.Removed, "b")
	situation := Situation{View: v, Self: "a", Tolerance: 1, Reach: reach{lost: "d"}}
	removed := situation.Next().GetRemoved()
	assert.Equal(t, len(removed), maxRemoved)
	assert.Equal(t, removed[maxRemoved-1], "d")
	assert.Assert(t, !slices.Contains(removed, "b"), "who is a voter is not removed")
}

// TestHoldersOfAShortChain: a view that acknowledges nothing does not keep those from proposing that hold the state.
func TestHoldersOfAShortChain(t *testing.T) {
	whole := viewOf("abcdef", "abcd")
	whole.AcknowledgedBy = 3
	next := (&Situation{View: whole, Self: "a", Tolerance: 2, Reach: reach{lost: "cd"}}).Next()
	assert.DeepEqual(t, next.GetChain(), []string{"a", "b"})
	assert.Assert(t, !Acknowledges(next))
	assert.DeepEqual(t, next.GetHolders(), []string{"c", "d"})
	assert.DeepEqual(t, Proposers(next), []string{"a", "b", "c", "d"})

	calm := &Situation{View: next, Self: "c", Tolerance: 2, Reach: reach{lost: "a", missing: "b"}}
	assert.Assert(t, calm.Wanted(), "the chain is broken")
	assert.Assert(t, calm.Next() == nil, "one of it may return")
	assert.Equal(t, calm.Rank(), 0)

	rescue := (&Situation{View: next, Self: "c", Tolerance: 2, Reach: reach{lost: "ab"}}).Next()
	assert.DeepEqual(t, rescue.GetChain(), []string{"c", "d"})
	assert.DeepEqual(t, rescue.GetHolders(), []string{"a", "b"})

	longer := &Situation{View: next, Self: "c", Tolerance: 2, Reach: reach{lost: "a"}}
	assert.Assert(t, longer.Wanted())
	assert.DeepEqual(t, longer.Next().GetChain(), []string{"c", "b", "d"})
	assert.Equal(t, len(longer.Next().GetHolders()), 0, "it acknowledges")
	assert.Equal(t, longer.Rank(), 1)
}

// TestHoldersStayVoters: a machine that holds the state is neither dropped nor replaced by another, but gives way to its own
// new disk.
func TestHoldersStayVoters(t *testing.T) {
	short := viewOf("abcd", "a")
	short.AcknowledgedBy = 2
	short.Holders = []string{"b"}
	joiners := []*nodepb.Voter{{DiskId: "z", Address: "addr-z"}}
	situation := Situation{View: short, Self: "a", Tolerance: 2, Reach: reach{lost: "b"}, Joiners: joiners}
	next := situation.Next()
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "b", "c", "d", "z"})
	assert.DeepEqual(t, next.GetHolders(), []string{"b"})

	situation.Joiners = []*nodepb.Voter{{DiskId: "y", Address: "addr-b"}}
	next = situation.Next()
	assert.DeepEqual(t, DiskIDs(next), []string{"a", "y", "c", "d"})
	assert.Equal(t, len(next.GetHolders()), 0)
}

func TestRank(t *testing.T) {
	rank := func(self string, r reach, leaving bool) int {
		situation := Situation{View: viewOf("abcd", "abcd"), Self: self, Reach: r, Leaving: leaving}
		return situation.Rank()
	}
	assert.Equal(t, rank("a", reach{}, false), 0)
	assert.Equal(t, rank("c", reach{}, false), 2)
	assert.Equal(t, rank("c", reach{missing: "a"}, false), 1)
	assert.Equal(t, rank("c", reach{missing: "a", stuck: "b"}, false), 0)
	assert.Equal(t, rank("d", reach{}, true), 0)
}

func TestViewLookups(t *testing.T) {
	v := viewOf("abcd", "cab")
	assert.Equal(t, Head(v).GetDiskId(), "c")
	assert.Equal(t, Tail(v).GetDiskId(), "b")
	assert.Equal(t, Successor(v, "c").GetDiskId(), "a")
	assert.Assert(t, Successor(v, "b") == nil)
	assert.Assert(t, Successor(v, "d") == nil)
	assert.Equal(t, Position(v, "d"), -1)
	assert.Assert(t, Head(nil) == nil && Tail(nil) == nil)
	for members, majority := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 6: 4, 8: 5} {
		assert.Equal(t, Majority(members), majority)
	}
	for voters, by := range map[string]uint32{"a": 1, "ab": 2, "abc": 2} {
		first := First(votersOf(voters), 1)
		assert.Equal(t, first.GetAcknowledgedBy(), by)
		assert.Assert(t, Valid(first) && Acknowledges(first))
	}
}

func TestValid(t *testing.T) {
	assert.Assert(t, Valid(viewOf("abc", "ca")))
	assert.Assert(t, !Valid(nil))
	assert.Assert(t, !Valid(viewOf("abc", "ad")), "a chain of others")
	assert.Assert(t, !Valid(viewOf("abc", "aba")), "twice in the chain")
	assert.Assert(t, !Valid(viewOf("aba", "a")), "twice a voter")
	assert.Assert(t, !Valid(&nodepb.View{Epoch: 1, Voters: votersOf("a")}), "no chain")
}
