package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// Where parts are fetched from and sent to, by what the index knows of the prompt's 1,300 shared
// tokens.
func TestFetchAndSaveByTheIndex(t *testing.T) {
	const none, owner, peer = "", "owner", "peer"
	for _, c := range []struct {
		name                string
		storeDown           bool
		stored, kept, peers int // tokens at the store, at the broker that gets the request, at another
		from                string
		saved               bool
	}{
		{"nothing is known", false, 0, 0, 0, storeAddress, true},
		{"at the store", false, 1300, 0, 0, storeAddress, false},
		{"at the store and at another broker", false, 1300, 0, 1300, peer, false},
		{"more at the store than at another broker", false, 1300, 0, 500, storeAddress, false},
		{"at the broker itself, which may have dropped it", false, 1300, 1300, 0, storeAddress, false},
		{"the first part at the store", false, 500, 0, 0, storeAddress, true},
		{"at another broker alone", false, 0, 0, 1300, peer, true},
		{"the store is down", true, 1300, 0, 0, owner, false},
		{"the store is down, another broker has the parts", true, 1300, 0, 1300, peer, false},
		{"the store is down, the broker has the parts", true, 0, 1300, 1300, none, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			index := &fixedIndex{}
			f := newFixtureWithIndex(t, instances(5), index)
			f.StoreSeen(f.now, storeAddress, !c.storeDown, false)
			first := f.mustBegin(f.prompt(streamRoute, 77))
			f.answerAfterPrefill(first)
			f.now += prefixcache.PrefillBelieved // so that the index decides
			other, source := "i00", "i01"
			if first.Instance.ID == other {
				other = "i02"
			}
			if first.Instance.ID == source {
				source = "i02"
			}
			f.PeerSentPrompt(f.now, SentPrompt{Instance: first.Instance.ID, PrefillTokens: 50000})
			f.PeerSentPrompt(f.now, SentPrompt{Instance: source, PrefillTokens: 50000})
			index.holders = []prefixcache.Holder{{Instance: storeAddress, Store: true, Tokens: c.stored}, {Instance: source, Tokens: c.peers}}
			if c.kept > 0 {
				index.holders = append(index.holders, prefixcache.Holder{Instance: other, Tokens: c.kept})
			}
			a := f.mustBegin(f.prompt(streamRoute, 77))
			assert.Assert(t, a.Instance.ID != first.Instance.ID && a.Instance.ID != source)
			if c.kept > 0 {
				assert.Equal(t, a.Instance.ID, other)
			}
			want := map[string]string{none: "", owner: first.Instance.Address, peer: f.Router.brokers[source].Instance.Address,
				storeAddress: storeAddress}[c.from]
			assert.Equal(t, a.FetchFrom, want)
			assert.Equal(t, a.SaveTo != "", c.saved)
		})
	}
}

// What a store keeps of a prompt under one version of the weights says nothing of another.
func TestSavedUnderEachVersion(t *testing.T) {
	index := &storeUnderSalt{salt: cachesalt.ID(cachesalt.Text(model, 1, ""))}
	list := instances(6)
	for i, instance := range list {
		withVersion(instance, uint64(1+i%2))
	}
	f := newFixtureWithIndex(t, list, index)
	f.SetConfig(f.now, configOf(map[string]uint64{model: 2}))
	for part := range uint64(30) {
		a := f.mustBegin(f.prompt(streamRoute, part+10))
		assert.Equal(t, a.SaveTo != "", a.ExpectVersion == 2)
		f.answerAfter(a, ms)
	}
}

// versionedIndex has all parts at the store under one salt.
type storeUnderSalt struct{ salt uint64 }

func (x *storeUnderSalt) Holders(salt uint64, parts []prompt.Part) []prefixcache.Holder {
	if salt != x.salt {
		return nil
	}
	return []prefixcache.Holder{{Instance: storeAddress, Store: true, Tokens: sumTokens(parts)}}
}

// A store that was not asked yet is believed to be well; one that is down gets nothing, until it is
// back.
func TestDeadStoreIsNotUsed(t *testing.T) {
	f := newFixture(t, instances(5))
	check := func(from, to string) {
		t.Helper()
		a := f.mustBegin(f.prompt(streamRoute, 5))
		assert.Equal(t, a.FetchFrom, from)
		assert.Equal(t, a.SaveTo, to)
		f.answerAfter(a, ms)
	}
	check(storeAddress, storeAddress)
	f.StoreSeen(f.now, storeAddress, false, false)
	check("", "")
	f.StoreSeen(f.now, storeAddress, true, true)
	check(storeAddress, storeAddress)
}

// Answers that come late one after the other, wherever parts were to be fetched from the store,
// while others come in time, show that the store went down; being late like all others does not.
func TestStoreThatDelaysAnswersBacksOff(t *testing.T) {
	for _, othersLate := range []bool{false, true} {
		t.Run(fmt.Sprint("others late: ", othersLate), func(t *testing.T) {
			f := newFixture(t, instances(12))
			fresh := func() Request {
				q := f.prompt(streamRoute, f.Router.options.Random.Uint64())
				q.Parts[0].ID = f.Router.options.Random.Uint64()
				return q
			}
			short := func() Request {
				q := f.prompt(streamRoute, 9)
				q.Parts = []prompt.Part{{ID: 1, Tokens: 100}, {ID: 9, Tokens: 900}}
				return q
			}
			for part := range uint64(40) {
				f.answerAfter(f.mustBegin(f.prompt(streamRoute, part)), 30*ms)
			}
			others := 30 * ms
			if othersLate {
				others = 400 * ms
			}
			for range prefixcache.MinLateFetches {
				a := f.mustBegin(fresh())
				assert.Equal(t, a.FetchFrom, storeAddress)
				f.answerAfter(a, 400*ms)
				f.answerAfter(f.mustBegin(short()), others)
			}
			a := f.mustBegin(fresh())
			assert.Equal(t, a.FetchFrom == storeAddress, othersLate)
			f.answerAfter(a, 30*ms)
			f.now += prefixcache.StoreBackoff
			assert.Equal(t, f.mustBegin(fresh()).FetchFrom, storeAddress, "it is tried again")
		})
	}
}

// threeStores is the configuration of the tests with a store in each zone.
func threeStores() *config.Compiled {
	compiled := configOf(nil)
	compiled.Stores = nil
	for i := range 3 {
		compiled.Stores = append(compiled.Stores, &config.Service{
			Name: fmt.Sprintf("store%d", i), KVStoreAddr: fmt.Sprintf("10.9.0.%d:9000", i), Zone: fmt.Sprintf("z%d", i),
		})
	}
	return compiled
}

// Several stores keep each part once, whichever proxy it comes by, so that together they hold as
// much as their memory.
func TestEachPartHasOneStore(t *testing.T) {
	targets := map[string]int{}
	for part := range uint64(60) {
		saved := map[string]bool{}
		for _, zone := range []string{"z0", "z1", "z2"} {
			f := newFixture(t, instances(6))
			f.setZone(zone)
			f.SetConfig(f.now, threeStores())
			a := f.mustBegin(f.prompt(streamRoute, part+10))
			assert.Equal(t, a.FetchFrom, a.SaveTo)
			saved[a.SaveTo] = true
			targets[a.SaveTo]++
		}
		assert.Equal(t, len(saved), 1)
	}
	assert.Equal(t, len(targets), 3)
	for address, count := range targets {
		assert.Assert(t, count >= 3*10, "%s: %d", address, count)
	}
}

// What another store keeps counts for nothing, as it isn't fetched from; one that is down is
// replaced by the next in the order.
func TestOnlyThePromptsStoreCounts(t *testing.T) {
	index := &fixedIndex{}
	f := newFixtureWithIndex(t, instances(6), index)
	f.SetConfig(f.now, threeStores())
	own := f.mustBegin(f.prompt(streamRoute, 5)).SaveTo
	for i := range 3 {
		address := fmt.Sprintf("10.9.0.%d:9000", i)
		index.holders = []prefixcache.Holder{{Instance: address, Store: true, Tokens: 1300}}
		a := f.mustBegin(f.prompt(streamRoute, 5))
		assert.Equal(t, a.FetchFrom, own)
		assert.Equal(t, a.SaveTo == "", address == own, "what is kept where it belongs is not sent again")
	}
	f.StoreSeen(f.now, own, false, false)
	next := f.mustBegin(f.prompt(streamRoute, 5))
	assert.Assert(t, next.FetchFrom != own && next.FetchFrom != "")
	assert.Equal(t, next.SaveTo, next.FetchFrom)
}

// What the index tells of a broker is old at times: where the store's link is about as quick, parts
// come from the store, unless the broker was sent them recently.
func TestStoreBeforeBrokersThatMayHaveDroppedParts(t *testing.T) {
	for _, c := range []struct {
		name      string
		storeMbps float64
		sentFor   core.Time // ago
		fromStore bool
	}{
		{"as quick, told by the index", 1e6, time.Minute, true},
		{"as quick, sent just now", 1e6, time.Second, false},
		{"far slower, told by the index", 2e4, time.Minute, false},
		{"not known", 0, time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			index := &fixedIndex{}
			f := newFixtureWithIndex(t, instances(6), index)
			compiled := configOf(nil)
			engine := compiled.Services[service].Engine
			engine.LinkMbps, engine.KVTokenBytes, compiled.Stores[0].LinkMbps = 1e6, 2e5, c.storeMbps
			f.SetConfig(f.now, compiled)
			first := f.mustBegin(f.prompt(streamRoute, 7))
			f.answerAfterPrefill(first)
			f.now += c.sentFor
			f.PeerSentPrompt(f.now, SentPrompt{Instance: first.Instance.ID, PrefillTokens: 90000})
			index.holders = []prefixcache.Holder{{Instance: storeAddress, Store: true, Tokens: 1300}, {Instance: first.Instance.ID, Tokens: 1300}}
			a := f.mustBegin(f.prompt(streamRoute, 7))
			assert.Assert(t, a.Instance.ID != first.Instance.ID)
			assert.Equal(t, a.FetchFrom == storeAddress, c.fromStore)
		})
	}
}
