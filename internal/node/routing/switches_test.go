package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/mechanism"
	"kestrelspread/internal/node/routing/prefixcache"
)

// Requests are served with each mechanism disabled, and with all of them disabled.
func TestServedWithoutMechanisms(t *testing.T) {
	var all mechanism.Set
	for _, info := range mechanism.All() {
		all |= info.Mechanism
	}
	for _, info := range append(mechanism.All(), mechanism.Info{Mechanism: all, Name: "all"}) {
		t.Run(info.Name, func(t *testing.T) {
			index := &fixedIndex{holders: []prefixcache.Holder{{Instance: "i02", Tokens: 1300}, {Instance: storeAddress, Store: true, Tokens: 1300}}}
			f := newFixtureWithDisabled(t, instances(5), index, info.Mechanism)
			for part := range uint64(30) {
				f.answerAfterPrefill(f.mustBegin(f.prompt(resumableRoute, part)))
				f.answerAfter(f.mustBegin(f.request(safeRoute)), 20*ms)
			}
			a := f.mustBegin(f.prompt(resumableRoute, 1))
			assert.Assert(t, info.Mechanism&mechanism.KVStore == 0 || a.SaveTo == "" && a.FetchFrom != storeAddress)
			assert.Assert(t, info.Mechanism&mechanism.KVFetch == 0 || a.FetchFrom == "" || a.FetchFrom == storeAddress)
			hedge := f.Hedge(f.now+1000*ms, a.Request)
			assert.Assert(t, info.Mechanism&mechanism.Hedging == 0 || hedge.Attempt == nil)
		})
	}
}
