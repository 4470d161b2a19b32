package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/verdict"
)

// Parts that another proxy has just sent to a broker count as in prefill there: they aren't prefilled at
// another broker at the same time, and not fetched before they are prefilled.
func TestPartsInPrefill(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration // since the other proxy sent it
		backlog int           // tokens at the broker that prefills the parts
		chosen  bool          // the request goes to the same broker
		fetched bool          // the parts are fetched from there
	}{
		{"at once", ms, 0, true, false},
		{"at once, long backlog", ms, 20000, false, false},
		{"prefilled by now", 500 * ms, 0, true, false},
		{"prefilled by now, long backlog", 500 * ms, 20000, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, instances(9))
			q := f.prompt(streamRoute, 5)
			salt := cachesalt.ID(cachesalt.Text(model, 1, ""))
			f.RecordPeerPrompt(f.now, SentPrompt{Instance: "i07", Salt: salt, Parts: q.Parts[:2], PrefillTokens: 1600})
			f.now += c.after
			f.RecordPeerPrompt(f.now, SentPrompt{Instance: "i07", PrefillTokens: c.backlog})
			q.Received, q.Deadline = f.now, f.now+4*time.Second
			a := f.mustBegin(q)
			assert.Equal(t, a.Instance.ID == "i07", c.chosen)
			assert.Equal(t, a.FetchFrom == "10.0.0.1:i07", c.fetched)
			if c.chosen {
				assert.Equal(t, a.SentPrompt, (*SentPrompt)(nil), "few tokens are to be prefilled there")
			}
		})
	}
}

// TestUnconfirmedTenantHasASaltOfItsOwn: the configuration may have been replaced by one that isolates it. A second attempt is kept
// apart as well if a configuration that isolates the tenant comes between the two.
func TestUnconfirmedTenantHasASaltOfItsOwn(t *testing.T) {
	f := newFixture(t, instances(3))
	q := f.prompt(safeRoute, 5)
	q.Tenant = &config.Tenant{Name: "acme"}
	q.Unconfirmed = true
	assert.Equal(t, f.mustBegin(q).Salt, cachesalt.Text(model, 1, "acme"))
	q.Unconfirmed = false
	first := f.mustBegin(q)
	assert.Equal(t, first.Salt, cachesalt.Text(model, 1, ""))
	assert.Equal(t, first.IsolatedSalt, cachesalt.Text(model, 1, "acme"))
	isolating := configOf(nil)
	isolating.Tenants = map[string]*config.Tenant{"key": {Name: "acme", Isolated: true}}
	f.SetConfig(f.now, isolating)
	second := f.AttemptEnded(f.now, first.Request, first.Number, Outcome{Verdict: verdict.NotRun, ConnectFailed: true}, false).Attempt
	assert.Assert(t, second != nil)
	assert.Equal(t, second.Salt, cachesalt.Text(model, 1, "acme"))
}

// Parts that were sent under another salt, here that of other weights, don't count.
func TestPartsUnderAnotherSalt(t *testing.T) {
	f := newFixture(t, instances(9))
	q := f.prompt(streamRoute, 5)
	owner := f.mustBegin(q).Instance.ID
	fresh := newFixture(t, instances(9))
	other := "i07"
	if owner == other {
		other = "i03"
	}
	salt := cachesalt.ID(cachesalt.Text(model, 2, ""))
	fresh.RecordPeerPrompt(fresh.now, SentPrompt{Instance: other, Salt: salt, Parts: q.Parts[:2], PrefillTokens: 10})
	assert.Equal(t, fresh.mustBegin(fresh.prompt(streamRoute, 5)).Instance.ID, owner)
}
