package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/brokerstate"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// All proxies send prompts with the same shared parts to the same broker, without exchange.
func TestProxiesAgreeOnAPromptsBroker(t *testing.T) {
	list := instances(9)
	first, second := newWorld(t, list), newWorld(t, list)
	second.moveTo("z2")
	owners := map[string]int{}
	for part := range uint64(300) {
		a, b := first.begin(first.prompt(flowRoute, part)), second.begin(second.prompt(flowRoute, part))
		assert.Equal(t, a.Instance.ID, b.Instance.ID)
		owners[a.Instance.ID]++
		first.read(a)
		second.read(b)
	}
	assert.Equal(t, len(owners), 9)
	for id, n := range owners {
		assert.Assert(t, n > 15 && n < 60, "%s has %d of 300 parts", id, n)
	}
}

// The loss of a broker moves its own parts only.
func TestLossMovesOnlyTheLostBrokersParts(t *testing.T) {
	list := instances(9)
	w := newWorld(t, list)
	before := map[uint64]string{}
	for part := range uint64(200) {
		a := w.begin(w.prompt(flowRoute, part))
		before[part] = a.Instance.ID
		w.read(a)
	}
	w.SetTable(w.now, tableOf(list[1:]...))
	for part := range uint64(200) {
		a := w.begin(w.prompt(flowRoute, part))
		if before[part] != list[0].ID {
			assert.Equal(t, a.Instance.ID, before[part])
		}
		w.read(a)
	}
}

// A broker that has clearly more to read than the rest is passed over, and the prompt's parts are
// fetched from it.
func TestBusyBrokerIsPassedOver(t *testing.T) {
	for _, c := range []struct {
		waiting int // tokens
		passed  bool
	}{{50, false}, {5000, true}} {
		w := newWorld(t, instances(5))
		w.StoreSeen(w.now, storeAddress, false, false)
		owner := w.begin(w.prompt(flowRoute, 77))
		w.read(owner)
		w.PeerSentPrompt(w.now, SentPrompt{Instance: owner.Instance.ID, PrefillTokens: c.waiting})
		a := w.begin(w.prompt(flowRoute, 77))
		assert.Equal(t, a.Instance.ID != owner.Instance.ID, c.passed)
		assert.Equal(t, a.FetchFrom == owner.Instance.Address, c.passed)
	}
}

// fixedIndex names holders whatever is asked for, and notes what it is told.
type fixedIndex struct {
	holders  []prefixcache.Holder
	observed []string
}

func (x *fixedIndex) Holders(uint64, []prompt.Part) []prefixcache.Holder { return x.holders }

func (x *fixedIndex) Observed(id string, _ uint64, _ []prompt.Part) {
	x.observed = append(x.observed, id)
}

func TestIndexDecidesBeforeAffinity(t *testing.T) {
	index := &fixedIndex{}
	w := newWorldWith(t, instances(8), index)
	owner := w.begin(w.prompt(flowRoute, 5))
	w.serve(owner, ms)
	w.now += prefixcache.PrefillBelieved
	assert.DeepEqual(t, index.observed, []string{owner.Instance.ID})
	for id := range w.brokers {
		if id != owner.Instance.ID {
			index.holders = []prefixcache.Holder{{Instance: id, Tokens: 1300}}
			break
		}
	}
	a := w.begin(w.prompt(flowRoute, 5))
	assert.Equal(t, a.Instance.ID, index.holders[0].Instance)
	w.serve(a, ms)
	w.now += prefixcache.PrefillBelieved
	index.holders = append(index.holders, prefixcache.Holder{Instance: owner.Instance.ID, Tokens: 1300})
	a = w.begin(w.prompt(flowRoute, 5))
	assert.Equal(t, a.Instance.ID, owner.Instance.ID, "between equals the order decides that all proxies find")
}

// Without a store, a broker is named as a source only if it is well and has the same weights.
func TestFetchSources(t *testing.T) {
	for _, c := range []struct {
		name    string
		spoil   func(w *world, owner *registry.Instance)
		fetched bool
	}{
		{"well", func(*world, *registry.Instance) {}, true},
		{"silent", func(_ *world, owner *registry.Instance) { owner.Unresponsive = true }, false},
		{"draining", func(_ *world, owner *registry.Instance) { owner.State = registry.Draining }, false},
		{"loading", func(_ *world, owner *registry.Instance) { owner.Loading = true }, false},
		{"another version", func(_ *world, owner *registry.Instance) { withVersion(owner, 2) }, false},
		{"set aside", func(w *world, owner *registry.Instance) {
			w.ejector.Eject(w.now, w.brokers[owner.ID], brokerstate.Failing)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, instances(5))
			w.StoreSeen(w.now, storeAddress, false, false)
			a := w.begin(w.prompt(flowRoute, 77))
			w.serve(a, ms)
			owner := w.brokers[a.Instance.ID].Instance
			w.PeerSentPrompt(w.now, SentPrompt{Instance: owner.ID, PrefillTokens: 20000})
			c.spoil(w, owner)
			a = w.begin(w.prompt(flowRoute, 77))
			assert.Assert(t, a.Instance.ID != owner.ID)
			assert.Equal(t, a.FetchFrom == owner.Address, c.fetched)
		})
	}
}
