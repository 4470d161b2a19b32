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

// unsharedPrompt returns a request whose prompt shares no part with others.
func (f *fixture) unsharedPrompt(tokens int) Request {
	q := f.request(streamRoute)
	q.Model = model
	q.TokensIn = tokens
	q.Parts = []prompt.Part{{ID: f.Router.options.Random.Uint64(), Tokens: tokens}}
	return q
}

// Requests go to the broker with the shortest prefill backlog, however many requests run there.
func TestRequestsGoToTheShortestBacklog(t *testing.T) {
	f := newFixture(t, instances(3))
	f.RecordPeerPrompt(f.now, SentPrompt{Instance: "i00", PrefillTokens: 30000})
	f.RecordPeerPrompt(f.now, SentPrompt{Instance: "i01", PrefillTokens: 8000})
	f.ObserveLoad(f.now, "i02", Load{Running: 20, Slots: 64})
	assert.Equal(t, f.mustBegin(f.unsharedPrompt(20000)).Instance.ID, "i02")
	assert.Equal(t, f.mustBegin(f.unsharedPrompt(600)).Instance.ID, "i01", "the long prompt is in the backlog of the other one now")
	f.now += time.Second
	seen := map[string]bool{}
	for range 3 {
		seen[f.mustBegin(f.unsharedPrompt(3000)).Instance.ID] = true
	}
	assert.Equal(t, len(seen), 3, "the backlogs shrink with time")
}

// A broker whose slots are all taken is passed over for one with a longer backlog.
func TestFullBrokerIsPassedOver(t *testing.T) {
	f := newFixture(t, instances(2))
	f.ObserveLoad(f.now, "i00", Load{Running: 64, Slots: 64})
	f.ObserveLoad(f.now, "i01", Load{Running: 3, Slots: 64})
	f.RecordPeerPrompt(f.now, SentPrompt{Instance: "i01", PrefillTokens: 3000})
	assert.Equal(t, f.mustBegin(f.unsharedPrompt(600)).Instance.ID, "i01")
}

// The choice weighs whether a broker caches a prompt's parts, can fetch them or must prefill them against
// the broker's backlog.
func TestCachedPartsAgainstBacklog(t *testing.T) {
	for _, c := range []struct {
		name    string
		holders []prefixcache.Holder
		backlog int  // tokens at i00
		chosen  bool // i00
	}{
		{"cached at i00 only, no backlog", []prefixcache.Holder{{Instance: "i00", Tokens: 1300}}, 0, true},
		{"cached at i00 only, short backlog", []prefixcache.Holder{{Instance: "i00", Tokens: 1300}}, 100, true},
		{"cached at i00 only, long backlog, others can fetch", []prefixcache.Holder{{Instance: "i00", Tokens: 1300}}, 4000, false},
		{
			"cached at the store too",
			[]prefixcache.Holder{{Instance: "i00", Tokens: 1300}, {Instance: storeAddress, Store: true, Tokens: 1300}},
			2000, false,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixtureWithIndex(t, instances(4), &fixedIndex{holders: c.holders})
			f.RecordPeerPrompt(f.now, SentPrompt{Instance: "i00", PrefillTokens: c.backlog})
			a := f.mustBegin(f.prompt(streamRoute, 5))
			assert.Equal(t, a.Instance.ID == "i00", c.chosen)
			assert.Equal(t, a.SentPrompt, (*SentPrompt)(nil), "only the last part is to be prefilled")
		})
	}
}

// Other proxies are notified of the tokens that a broker has to prefill for a request, unless they are few.
func TestPeersAreNotifiedOfLongPrefills(t *testing.T) {
	notifiedTokens := func(f *fixture) int {
		a := f.mustBegin(f.prompt(streamRoute, 5))
		if a.SentPrompt == nil {
			return 0
		}
		assert.Equal(t, a.SentPrompt.Instance, a.Instance.ID)
		assert.Equal(t, a.SentPrompt.Salt, cachesalt.ID(a.Salt))
		assert.Equal(t, len(a.SentPrompt.Parts), 2, "the last part is not shared")
		return a.SentPrompt.PrefillTokens
	}
	withStored := func(tokens int) *fixture {
		holders := []prefixcache.Holder{{Instance: storeAddress, Store: true, Tokens: tokens}}
		return newFixtureWithIndex(t, instances(3), &fixedIndex{holders: holders})
	}
	assert.Equal(t, notifiedTokens(withStored(0)), 1600)
	assert.Equal(t, notifiedTokens(withStored(500)), 1100)
	assert.Equal(t, notifiedTokens(withStored(1300)), 0)
	down := withStored(1300)
	down.RecordStoreHealth(down.now, storeAddress, false, false)
	assert.Equal(t, notifiedTokens(down), 1600)
	f := newFixture(t, instances(3))
	assert.Equal(t, f.mustBegin(f.request(safeRoute)).SentPrompt, (*SentPrompt)(nil), "the request names no model")
}

// Brokers with new weights cache nothing of a prompt yet. They get requests as the backlogs of the brokers
// with old weights, which cache it, grow.
func TestBrokersWithNewWeightsGetRequests(t *testing.T) {
	list := instances(6)
	for _, instance := range list[:3] {
		withVersion(instance, 2)
	}
	index := &brokersUnderSalt{salt: cachesalt.ID(cachesalt.Text(model, 1, "")), holders: []string{list[3].ID, list[4].ID, list[5].ID}}
	f := newFixtureWithIndex(t, list, index)
	f.SetConfig(f.now, configOf(map[string]uint64{model: 2}))
	newWeights := 0
	for i := range 40 {
		a := f.mustBegin(f.prompt(streamRoute, uint64(i)))
		if a.ExpectVersion == 2 {
			newWeights++
		}
		if i == 0 {
			assert.Equal(t, a.ExpectVersion, uint64(1), "the first one goes to a broker that caches the parts")
		}
	}
	assert.Assert(t, newWeights >= 4 && newWeights <= 20, "%d of 40 requests went to brokers with new weights", newWeights)
}

// brokersUnderSalt is an index in which some brokers cache all shared parts, under one salt only.
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

// Model requests pass over a broker that is predicted slow, unless all are.
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
	assert.Assert(t, count <= 6, "%d of 60 requests went to the slow broker", count)
}

// A notification of a prompt that was sent to an unknown broker is ignored.
func TestPeerSentPromptOfUnknownBrokers(t *testing.T) {
	f := newFixture(t, []*registry.Instance{instanceOf("i00", "z0")})
	f.RecordPeerPrompt(f.now, SentPrompt{Instance: "i77", PrefillTokens: 5000})
	assert.Equal(t, f.mustBegin(f.unsharedPrompt(100)).Instance.ID, "i00")
}
