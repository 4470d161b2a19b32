package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/prefixcache"
	"kestrelspread/internal/node/routing/prompt"
)

// unsharedPrompt is a prompt with nothing that others share.
func (f *fixture) unsharedPrompt(tokens int) Request {
	q := f.request(streamRoute)
	q.Model = model
	q.TokensIn = tokens
	q.Parts = []prompt.Part{{ID: f.Router.options.Random.Uint64(), Tokens: tokens}}
	return q
}

// Requests go where least waits to be read, however many run there.
func TestRequestsGoToTheShortestBacklog(t *testing.T) {
	f := newFixture(t, instances(3))
	f.PeerSentPrompt(f.now, SentPrompt{Instance: "i00", PrefillTokens: 30000})
	f.PeerSentPrompt(f.now, SentPrompt{Instance: "i01", PrefillTokens: 8000})
	f.ObserveLoad(f.now, "i02", Load{Running: 20, Slots: 64})
	assert.Equal(t, f.mustBegin(f.unsharedPrompt(20000)).Instance.ID, "i02")
	assert.Equal(t, f.mustBegin(f.unsharedPrompt(600)).Instance.ID, "i01", "the long prompt waits at the other one now")
	f.now += time.Second
	seen := map[string]bool{}
	for range 3 {
		seen[f.mustBegin(f.unsharedPrompt(3000)).Instance.ID] = true
	}
	assert.Equal(t, len(seen), 3, "what was sent is read by and by")
}

// A broker whose places are all taken is left for one with more to read.
func TestFullBrokerIsPassedOver(t *testing.T) {
	f := newFixture(t, instances(2))
	f.ObserveLoad(f.now, "i00", Load{Running: 64, Slots: 64})
	f.ObserveLoad(f.now, "i01", Load{Running: 3, Slots: 64})
	f.PeerSentPrompt(f.now, SentPrompt{Instance: "i01", PrefillTokens: 3000})
	assert.Equal(t, f.mustBegin(f.unsharedPrompt(600)).Instance.ID, "i01")
}

// Whether a prompt's parts are at a broker, can be moved or must be read anew is weighed against
// what waits there.
func TestCachedPartsAgainstBacklog(t *testing.T) {
	for _, c := range []struct {
		name    string
		holders []prefixcache.Holder
		waiting int // tokens at the broker that keeps the parts
		stays   bool
	}{
		{"kept there alone, nothing waits", []prefixcache.Holder{{Instance: "i00", Tokens: 1300}}, 0, true},
		{"kept there alone, a little waits", []prefixcache.Holder{{Instance: "i00", Tokens: 1300}}, 100, true},
		{"kept there alone, as the rest can fetch, much waits", []prefixcache.Holder{{Instance: "i00", Tokens: 1300}}, 4000, false},
		{"kept at the store too", []prefixcache.Holder{{Instance: "i00", Tokens: 1300}, {Instance: storeAddress, Store: true, Tokens: 1300}}, 2000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixtureWithIndex(t, instances(4), &fixedIndex{holders: c.holders})
			f.PeerSentPrompt(f.now, SentPrompt{Instance: "i00", PrefillTokens: c.waiting})
			a := f.mustBegin(f.prompt(streamRoute, 5))
			assert.Equal(t, a.Instance.ID == "i00", c.stays)
			assert.Equal(t, a.SentPrompt, (*SentPrompt)(nil), "only the last part is to be read")
		})
	}
}

// What a broker has to read for a request is told for other proxies, unless it is little.
func TestPeersAreNotifiedOfLongPrefills(t *testing.T) {
	unread := func(f *fixture) int {
		a := f.mustBegin(f.prompt(streamRoute, 5))
		if a.SentPrompt == nil {
			return 0
		}
		assert.Equal(t, a.SentPrompt.Instance, a.Instance.ID)
		assert.Equal(t, a.SentPrompt.Salt, cachesalt.ID(a.Salt))
		assert.Equal(t, len(a.SentPrompt.Parts), 2, "the last part is nobody else's")
		return a.SentPrompt.PrefillTokens
	}
	fresh := func(tokens int) *fixture {
		return newFixtureWithIndex(t, instances(3), &fixedIndex{holders: []prefixcache.Holder{{Instance: storeAddress, Store: true, Tokens: tokens}}})
	}
	assert.Equal(t, unread(fresh(0)), 1600)
	assert.Equal(t, unread(fresh(500)), 1100)
	assert.Equal(t, unread(fresh(1300)), 0)
	down := fresh(1300)
	down.StoreSeen(down.now, storeAddress, false, false)
	assert.Equal(t, unread(down), 1600)
	f := newFixture(t, instances(3))
	assert.Equal(t, f.mustBegin(f.request(safeRoute)).SentPrompt, (*SentPrompt)(nil), "no model")
}

// Renewed brokers have nothing of a prompt yet: they get requests as the old ones, which have it,
// fill up.
func TestRenewedBrokersFillUp(t *testing.T) {
	list := instances(6)
	for _, instance := range list[:3] {
		withVersion(instance, 2)
	}
	index := &brokersUnderSalt{salt: cachesalt.ID(cachesalt.Text(model, 1, "")), holders: []string{list[3].ID, list[4].ID, list[5].ID}}
	f := newFixtureWithIndex(t, list, index)
	f.SetConfig(f.now, configOf(map[string]uint64{model: 2}))
	renewed := 0
	for i := range 40 {
		a := f.mustBegin(f.prompt(streamRoute, uint64(i)))
		if a.ExpectVersion == 2 {
			renewed++
		}
		if i == 0 {
			assert.Equal(t, a.ExpectVersion, uint64(1), "the first goes where it is kept")
		}
	}
	assert.Assert(t, renewed >= 4 && renewed <= 20, "%d of 40 went to renewed brokers", renewed)
}

// versionedBrokers has all shared parts at some brokers under one salt.
type brokersUnderSalt struct {
	salt    uint64
	holders []string
}

func (x *brokersUnderSalt) Holders(salt uint64, parts []prompt.Part) []prefixcache.Holder {
	if salt != x.salt {
		return nil
	}
	var list []prefixcache.Holder
	for _, id := range x.holders {
		list = append(list, prefixcache.Holder{Instance: id, Tokens: sumTokens(parts[:len(parts)-1])})
	}
	return list
}

// A broker that is predicted slow is passed over by model requests too; where all are, the first by
// work takes it.
func TestSlowModelBrokersArePassedOver(t *testing.T) {
	f := newFixture(t, instances(3))
	slow := map[string]bool{"i00": true}
	serve := func() string {
		a := f.mustBegin(f.unsharedPrompt(1000))
		latency := 30 * ms
		if slow[a.Instance.ID] {
			latency = 600 * ms
		}
		f.answerAfter(a, latency)
		return a.Instance.ID
	}
	for range 100 {
		serve()
	}
	count := 0
	for range 60 {
		if serve() == "i00" {
			count++
		}
	}
	assert.Assert(t, count <= 6, "%d of 60 went to the slow one", count)
}

// PeerSent of brokers that are not known, or that run no model, changes nothing.
func TestPeerSentPromptOfUnknownBrokers(t *testing.T) {
	f := newFixture(t, []*registry.Instance{instanceOf("i00", "z0")})
	f.PeerSentPrompt(f.now, SentPrompt{Instance: "i77", PrefillTokens: 5000})
	assert.Equal(t, f.mustBegin(f.unsharedPrompt(100)).Instance.ID, "i00")
}
