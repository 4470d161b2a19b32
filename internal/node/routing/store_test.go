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

// The source of a fetch and the target of a save follow from what the index knows of the prompt's 1,300
// shared tokens.
func TestFetchAndSaveByTheIndex(t *testing.T) {
	const none, owner, peer = "", "owner", "peer"
	for _, c := range []struct {
		name                 string
		storeDown            bool
		stored, cached, peer int // tokens at the store, at the broker that gets the request, at another broker
		from                 string
		saved                bool
	}{
		{"nothing is known", false, 0, 0, 0, storeAddress, true},
		{"at the store", false, 1300, 0, 0, storeAddress, false},
		{"at the store and at another broker", false, 1300, 0, 1300, peer, false},
		{"more at the store than at another broker", false, 1300, 0, 500, storeAddress, false},
		{"at the broker itself, which may have evicted it", false, 1300, 1300, 0, storeAddress, false},
		{"the first part at the store", false, 500, 0, 0, storeAddress, true},
		{"at another broker alone", false, 0, 0, 1300, peer, true},
		{"the store is down", true, 1300, 0, 0, owner, false},
		{"the store is down, another broker has the parts", true, 1300, 0, 1300, peer, false},
		{"the store is down, the broker has the parts", true, 0, 1300, 1300, none, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			index := &fixedIndex{}
			f := newFixtureWithIndex(t, instances(5), index)
			f.RecordStoreHealth(f.now, storeAddress, !c.storeDown, false)
			first := f.mustBegin(f.prompt(streamRoute, 77))
			f.answerAfterPrefill(first)
			f.now += prefixcache.PrefillAssumedFor // so that the index decides and not what was sent recently
			other, source := "i00", "i01"
			if first.Instance.ID == other {
				other = "i02"
			}
			if first.Instance.ID == source {
				source = "i02"
			}
			f.RecordPeerPrompt(f.now, SentPrompt{Instance: first.Instance.ID, PrefillTokens: 50000})
			f.RecordPeerPrompt(f.now, SentPrompt{Instance: source, PrefillTokens: 50000})
			index.holders = []prefixcache.Holder{{Instance: storeAddress, Store: true, Tokens: c.stored}, {Instance: source, Tokens: c.peer}}
			if c.cached > 0 {
				index.holders = append(index.holders, prefixcache.Holder{Instance: other, Tokens: c.cached})
			}
			a := f.mustBegin(f.prompt(streamRoute, 77))
			assert.Assert(t, a.Instance.ID != first.Instance.ID && a.Instance.ID != source)
			if c.cached > 0 {
				assert.Equal(t, a.Instance.ID, other)
			}
			want := map[string]string{none: "", owner: first.Instance.Address, peer: f.Router.brokers[source].Instance.Address,
				storeAddress: storeAddress}[c.from]
			assert.Equal(t, a.FetchFrom, want)
			assert.Equal(t, a.SaveTo != "", c.saved)
		})
	}
}

// Parts that the store caches under one version of the weights are saved again under another version.
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

// storeUnderSalt is an index in which the store caches all parts, under one salt only.
type storeUnderSalt struct{ salt uint64 }

func (x *storeUnderSalt) Holders(salt uint64, parts []prompt.Part) []prefixcache.Holder {
	if salt != x.salt {
		return nil
	}
	return []prefixcache.Holder{{Instance: storeAddress, Store: true, Tokens: sumTokens(parts)}}
}

// A store counts as available before its first health check. One that is down is neither fetched from nor
// saved to, until it is back.
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
	f.RecordStoreHealth(f.now, storeAddress, false, false)
	check("", "")
	f.RecordStoreHealth(f.now, storeAddress, true, true)
	check(storeAddress, storeAddress)
}

// A run of late answers that include fetches from the store, while other answers are in time, shows that
// the store went down. If other answers are late too, it doesn't.
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
			assert.Equal(t, f.mustBegin(fresh()).FetchFrom, storeAddress, "the store is used again after the backoff")
		})
	}
}

// threeStores returns a configuration with a store in each of three zones.
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

// Each part is cached in one of several stores, whichever proxy sends it, so that the memory of all stores
// is used.
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

// Only the store that the rendezvous order assigns to a prompt counts: parts at other stores aren't fetched.
// While that store is down, the next one in the order takes its place.
func TestOnlyTheAssignedStoreCounts(t *testing.T) {
	index := &fixedIndex{}
	f := newFixtureWithIndex(t, instances(6), index)
	f.SetConfig(f.now, threeStores())
	assigned := f.mustBegin(f.prompt(streamRoute, 5)).SaveTo
	for i := range 3 {
		address := fmt.Sprintf("10.9.0.%d:9000", i)
		index.holders = []prefixcache.Holder{{Instance: address, Store: true, Tokens: 1300}}
		a := f.mustBegin(f.prompt(streamRoute, 5))
		assert.Equal(t, a.FetchFrom, assigned)
		assert.Equal(t, a.SaveTo == "", address == assigned, "parts at the assigned store are not saved again")
	}
	f.RecordStoreHealth(f.now, assigned, false, false)
	next := f.mustBegin(f.prompt(streamRoute, 5))
	assert.Assert(t, next.FetchFrom != assigned && next.FetchFrom != "")
	assert.Equal(t, next.SaveTo, next.FetchFrom)
}

// The index may be outdated about a broker. If the link of the store is about as fast, parts are fetched from
// the store, unless the broker was sent them recently.
func TestStoreIsPreferredToOutdatedBrokers(t *testing.T) {
	for _, c := range []struct {
		name      string
		storeMbps float64   // 0: not known
		sentAgo   core.Time // since the broker was sent the parts
		fromStore bool
	}{
		{"as fast, known from the index", 1e6, time.Minute, true},
		{"as fast, sent just now", 1e6, time.Second, false},
		{"far slower, known from the index", 2e4, time.Minute, false},
		{"link speed not known", 0, time.Minute, false},
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
			f.now += c.sentAgo
			f.RecordPeerPrompt(f.now, SentPrompt{Instance: first.Instance.ID, PrefillTokens: 90000})
			index.holders = []prefixcache.Holder{{Instance: storeAddress, Store: true, Tokens: 1300}, {Instance: first.Instance.ID, Tokens: 1300}}
			a := f.mustBegin(f.prompt(streamRoute, 7))
			assert.Assert(t, a.Instance.ID != first.Instance.ID)
			assert.Equal(t, a.FetchFrom == storeAddress, c.fromStore)
		})
	}
}
