package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/cachesalt"
)

// What another proxy has just sent to a broker is known to come there: the same parts aren't read
// elsewhere at the same time, nor fetched before they are read.
func TestPartsInPrefill(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration // since the other proxy sent it
		waiting int           // tokens at the broker that reads the parts
		follows bool          // the request goes there too
		fetched bool          // the parts are fetched from there
	}{
		{"at once", ms, 0, true, false},
		{"at once, much waits there", ms, 20000, false, false},
		{"read by now", 500 * ms, 0, true, false},
		{"read by now, much waits there", 500 * ms, 20000, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, instances(9))
			q := f.prompt(streamRoute, 5)
			salt := cachesalt.ID(cachesalt.Text(model, 1, ""))
			f.PeerSentPrompt(f.now, SentPrompt{Instance: "i07", Salt: salt, Parts: q.Parts[:2], PrefillTokens: 1600})
			f.now += c.after
			f.PeerSentPrompt(f.now, SentPrompt{Instance: "i07", PrefillTokens: c.waiting})
			q.Received, q.Deadline = f.now, f.now+4*time.Second
			a := f.mustBegin(q)
			assert.Equal(t, a.Instance.ID == "i07", c.follows)
			assert.Equal(t, a.FetchFrom == "10.0.0.1:i07", c.fetched)
			if c.follows {
				assert.Equal(t, a.SentPrompt, (*SentPrompt)(nil), "little is to be read there")
			}
		})
	}
}

// Under another salt, of other weights or of a tenant on its own, nothing of it counts.
func TestPartsUnderAnotherSalt(t *testing.T) {
	f := newFixture(t, instances(9))
	q := f.prompt(streamRoute, 5)
	owner := f.mustBegin(q).Instance.ID
	fresh := newFixture(t, instances(9))
	other := "i07"
	if owner == other {
		other = "i03"
	}
	fresh.PeerSentPrompt(fresh.now, SentPrompt{Instance: other, Salt: cachesalt.ID(cachesalt.Text(model, 2, "")), Parts: q.Parts[:2], PrefillTokens: 10})
	assert.Equal(t, fresh.mustBegin(fresh.prompt(streamRoute, 5)).Instance.ID, owner)
}
