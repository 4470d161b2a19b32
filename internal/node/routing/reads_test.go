package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/routing/cachesalt"
	"kestrelspread/internal/node/routing/prompt"
)

// What another proxy has just sent to a broker is known to come there: the same parts aren't read elsewhere at the same time,
// nor fetched before they are read.
func TestPartsThatAreBeingRead(t *testing.T) {
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
			w := newWorld(t, instances(9))
			q := w.prompt(flowRoute, 5)
			salt := cachesalt.ID(cachesalt.Text(model, 1, ""))
			w.PeerSent(w.now, Sent{Instance: "i07", Salt: salt, Parts: q.Parts[:2], Unread: 1600})
			w.now += c.after
			w.PeerSent(w.now, Sent{Instance: "i07", Unread: c.waiting})
			q.Received, q.Deadline = w.now, w.now+4*time.Second
			a := w.begin(q)
			assert.Equal(t, a.Instance.ID == "i07", c.follows)
			assert.Equal(t, a.FetchFrom == "10.0.0.1:i07", c.fetched)
			if c.follows {
				assert.Equal(t, a.Sent, (*Sent)(nil), "little is to be read there")
			}
		})
	}
}

// Under another salt, of other weights or of a tenant on its own, nothing of it counts.
func TestPartsUnderAnotherSalt(t *testing.T) {
	w := newWorld(t, instances(9))
	q := w.prompt(flowRoute, 5)
	owner := w.begin(q).Instance.ID
	fresh := newWorld(t, instances(9))
	other := "i07"
	if owner == other {
		other = "i03"
	}
	fresh.PeerSent(fresh.now, Sent{Instance: other, Salt: cachesalt.ID(cachesalt.Text(model, 2, "")), Parts: q.Parts[:2], Unread: 10})
	assert.Equal(t, fresh.begin(fresh.prompt(flowRoute, 5)).Instance.ID, owner)
}

// After a while the index has to know; after readsAgain a part counts as new.
func TestReadsFade(t *testing.T) {
	w := newWorld(t, instances(1))
	b := w.Router.brokers["i00"]
	parts := []prompt.Part{{ID: 1, Tokens: 500}}
	var r recentReads
	r.note(w.now, w.now+time.Second, b, 7, parts)
	reads := r.of(w.now, 7, parts[0])
	assert.Equal(t, reads.places[0].broker, b)
	assert.Assert(t, r.of(w.now, 8, parts[0]) == nil)
	assert.Assert(t, r.of(w.now+readsAgain, 7, parts[0]) == nil)
	r.note(w.now+readsAgain, 0, b, 7, []prompt.Part{{ID: 2}})
	assert.Equal(t, len(r.newer), 1)
	assert.Equal(t, len(r.older), 1)
	r.note(w.now+2*readsAgain, 0, b, 7, []prompt.Part{{ID: 3}})
	assert.Equal(t, len(r.older), 1, "two generations are kept")
}

// A part that is sent again to a broker that reads it is ready when the first reading ends, and the places are the latest.
func TestReadPlaces(t *testing.T) {
	w := newWorld(t, instances(readsPlaces+2))
	var r recentReads
	part := prompt.Part{ID: 1, Tokens: 500}
	note := func(id string, readyAt time.Duration) {
		r.note(w.now, w.now+readyAt, w.Router.brokers[id], 7, []prompt.Part{part})
	}
	note("i00", 100*ms)
	note("i01", 200*ms)
	note("i00", 900*ms)
	reads := r.of(w.now, 7, part)
	assert.Equal(t, reads.places[0].broker.instance.ID, "i00")
	assert.Equal(t, reads.places[0].readyAt, w.now+100*ms)
	assert.Equal(t, reads.places[1].broker.instance.ID, "i01")
	note("i00", 0)
	assert.Equal(t, reads.places[0].readyAt, w.now, "its answer has begun")
	for _, id := range []string{"i02", "i03", "i04", "i05"} {
		note(id, 0)
	}
	assert.Equal(t, reads.places[0].broker.instance.ID, "i05")
	assert.Equal(t, reads.places[readsPlaces-1].broker.instance.ID, "i02")
}
