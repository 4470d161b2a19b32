package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// All proxies send prompts with the same shared parts to the same broker without communicating.
func TestProxiesChooseTheSameBroker(t *testing.T) {
	list := instances(9)
	first, second := newFixture(t, list), newFixture(t, list)
	second.setZone("z2")
	owners := map[string]int{}
	for part := range uint64(300) {
		a, b := first.mustBegin(first.prompt(streamRoute, part)), second.mustBegin(second.prompt(streamRoute, part))
		assert.Equal(t, a.Instance.ID, b.Instance.ID)
		owners[a.Instance.ID]++
		first.answerAfterPrefill(a)
		second.answerAfterPrefill(b)
	}
	assert.Equal(t, len(owners), 9)
	for id, n := range owners {
		assert.Assert(t, n > 15 && n < 60, "%s has %d of 300 parts", id, n)
	}
}

// When a broker is lost, only the parts that it cached move to other brokers.
func TestLossMovesOnlyTheLostBrokersParts(t *testing.T) {
	list := instances(9)
	f := newFixture(t, list)
	before := map[uint64]string{}
	for part := range uint64(200) {
		a := f.mustBegin(f.prompt(streamRoute, part))
		before[part] = a.Instance.ID
		f.answerAfterPrefill(a)
	}
	f.SetTable(f.now, tableOf(list[1:]...))
	for part := range uint64(200) {
		a := f.mustBegin(f.prompt(streamRoute, part))
		if before[part] != list[0].ID {
			assert.Equal(t, a.Instance.ID, before[part])
		}
		f.answerAfterPrefill(a)
	}
}

// A broker with a clearly longer prefill backlog than the others is passed over, and the prompt's parts
// are fetched from it.
func TestBusyBrokerIsPassedOver(t *testing.T) {
	for _, c := range []struct {
		backlog    int // tokens
		passedOver bool
	}{{50, false}, {5000, true}} {
		f := newFixture(t, instances(5))
		f.RecordStoreHealth(f.now, storeAddress, false, false)
		owner := f.mustBegin(f.prompt(streamRoute, 77))
		f.answerAfterPrefill(owner)
		f.RecordPeerPrompt(f.now, SentPrompt{Instance: owner.Instance.ID, PrefillTokens: c.backlog})
		a := f.mustBegin(f.prompt(streamRoute, 77))
		assert.Equal(t, a.Instance.ID != owner.Instance.ID, c.passedOver)
		assert.Equal(t, a.FetchFrom == owner.Instance.Address, c.passedOver)
	}
}

// fixedIndex is an index that returns the same holders for all parts, and records the brokers of which
// it is notified.
type fixedIndex struct {
	holders  []prefixcache.Holder
	observed []string
}

func (x *fixedIndex) Holders(uint64, []prompt.Part) []prefixcache.Holder { return x.holders }

func (x *fixedIndex) Observed(id string, _ uint64, _ []prompt.Part) {
	x.observed = append(x.observed, id)
}

// The index takes precedence over the rendezvous order, which decides between brokers that cache equally
// much.
func TestIndexDecidesBeforeAffinity(t *testing.T) {
	index := &fixedIndex{}
	f := newFixtureWithIndex(t, instances(8), index)
	owner := f.mustBegin(f.prompt(streamRoute, 5))
	f.answerAfter(owner, ms)
	f.now += prefixcache.PrefillAssumedFor
	assert.DeepEqual(t, index.observed, []string{owner.Instance.ID})
	for id := range f.brokers {
		if id != owner.Instance.ID {
			index.holders = []prefixcache.Holder{{Instance: id, Tokens: 1300}}
			break
		}
	}
	a := f.mustBegin(f.prompt(streamRoute, 5))
	assert.Equal(t, a.Instance.ID, index.holders[0].Instance)
	f.answerAfter(a, ms)
	f.now += prefixcache.PrefillAssumedFor
	index.holders = append(index.holders, prefixcache.Holder{Instance: owner.Instance.ID, Tokens: 1300})
	a = f.mustBegin(f.prompt(streamRoute, 5))
	assert.Equal(t, a.Instance.ID, owner.Instance.ID, "between equal holders the rendezvous order decides, which is the same for all proxies")
}

// Without a store, parts are fetched only from a broker that is healthy and has the same weights.
func TestFetchSources(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(f *fixture, owner *registry.Instance)
		fetched bool
	}{
		{"healthy", func(*fixture, *registry.Instance) {}, true},
		{"unresponsive", func(_ *fixture, owner *registry.Instance) { owner.Unresponsive = true }, false},
		{"draining", func(_ *fixture, owner *registry.Instance) { owner.State = registry.Draining }, false},
		{"loading", func(_ *fixture, owner *registry.Instance) { owner.Loading = true }, false},
		{"another version", func(_ *fixture, owner *registry.Instance) { withVersion(owner, 2) }, false},
		{"ejected", func(f *fixture, owner *registry.Instance) {
			f.ejector.Eject(f.now, f.brokers[owner.ID], brokerstate.Failing)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, instances(5))
			f.RecordStoreHealth(f.now, storeAddress, false, false)
			a := f.mustBegin(f.prompt(streamRoute, 77))
			f.answerAfter(a, ms)
			owner := f.brokers[a.Instance.ID].Instance
			f.RecordPeerPrompt(f.now, SentPrompt{Instance: owner.ID, PrefillTokens: 20000})
			c.change(f, owner)
			a = f.mustBegin(f.prompt(streamRoute, 77))
			assert.Assert(t, a.Instance.ID != owner.ID)
			assert.Equal(t, a.FetchFrom == owner.Address, c.fetched)
		})
	}
}
