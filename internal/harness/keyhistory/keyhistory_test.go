package keyhistory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kestrelspread/internal/node/config"
)

const bound = 5 * time.Second

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func tenant(name string, keys ...string) config.Tenant {
	return config.Tenant{Name: name, APIKeys: keys}
}

// order is a configuration that was sent at a time, and acknowledged half a second later.
func order(version uint64, sent float64, tenants ...config.Tenant) Order {
	return Order{Version: version, Tenants: tenants, SentAt: at(sent), AcknowledgedAt: at(sent + 0.5)}
}

// unanswered is an order without a definite answer.
func unanswered(o Order) Order {
	o.AcknowledgedAt = time.Time{}
	return o
}

// empty is an order whose configuration has a list without tenants.
func empty(o Order) Order {
	o.Tenants = []config.Tenant{}
	return o
}

func TestRunsAreJudgedByTheNewestAcknowledgement(t *testing.T) {
	given := order(1, 0, tenant("a", "k"))
	taken := order(2, 10, tenant("a"))
	for _, c := range []struct {
		name    string
		orders  []Order
		key     string
		tenant  string
		sent    float64
		allowed bool
	}{
		{"in force", []Order{given}, "k", "a", 100, true},
		{"of another tenant", []Order{given}, "k", "b", 1, false},
		{"never given out", []Order{given}, "l", "a", 1, false},
		{"revoked a moment ago", []Order{given, taken}, "k", "a", 15.4, true},
		{"revoked before the bound", []Order{given, taken}, "k", "a", 15.6, false},
		{"revoked by an order without an answer", []Order{given, unanswered(taken)}, "k", "a", 100, true},
		{"sent before the run", []Order{order(1, 3, tenant("a", "k"))}, "k", "a", 1, false},
		{"given back", []Order{given, taken, order(3, 20, tenant("a", "k"))}, "k", "a", 21, true},
		{"given back, perhaps", []Order{given, taken, unanswered(order(3, 20, tenant("a", "k")))}, "k", "a", 100, true},
		{"given back, and revoked again", []Order{given, taken, order(3, 20, tenant("a", "k")), order(4, 30, tenant("a"))}, "k", "a", 40, false},
		{"passed on, for the new tenant", []Order{given, order(2, 10, tenant("b", "k"))}, "k", "b", 11, true},
		{"passed on, for the former tenant", []Order{given, order(2, 10, tenant("b", "k"))}, "k", "a", 16, false},
		{"the last tenant removed", []Order{given, empty(order(2, 10))}, "k", "a", 16, false},
		{"without the list, the key", []Order{given, order(2, 10)}, "k", "a", 16, false},
		{"without the list, the key for no tenant", []Order{given, order(2, 10)}, "k", "", 11, false},
		{"without the list, no key", []Order{given, order(2, 10)}, "", "", 11, true},
		{"with an empty list, no key", []Order{given, empty(order(2, 10))}, "", "", 11, false},
		{"a list again, no key", []Order{order(1, 0), order(2, 10, tenant("a", "k"))}, "", "", 16, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			history := &History{}
			for _, order := range c.orders {
				history.Add(order)
			}
			_, allowed := history.Check(Run{Key: c.key, Tenant: c.tenant, SentAt: at(c.sent), StartedAt: at(c.sent)}, bound)
			assert.Equal(t, allowed, c.allowed)
		})
	}
}

func TestRevocationIsDescribed(t *testing.T) {
	history := &History{}
	history.Add(order(1, 0, tenant("a", "k")))
	history.Add(order(2, 10, tenant("a")))
	history.Add(order(3, 20, tenant("a")))
	revoked, allowed := history.Check(Run{Key: "k", Tenant: "a", SentAt: at(30.5), StartedAt: at(31)}, bound)
	assert.Assert(t, !allowed)
	assert.Equal(t, revoked, Revocation{Version: 2, Age: 20 * time.Second})
	passedOn := &History{}
	passedOn.Add(order(1, 0, tenant("a", "k")))
	passedOn.Add(order(2, 10, tenant("b", "k")))
	_, allowed = passedOn.CheckKey(Run{Key: "k", SentAt: at(30), StartedAt: at(30)}, bound)
	assert.Assert(t, allowed)
	assert.Assert(t, history.Known("k") && !history.Known("l"))
	assert.Assert(t, history.Belonged("k", "a") && !history.Belonged("k", "b"))
}
