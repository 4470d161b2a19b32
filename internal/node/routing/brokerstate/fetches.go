package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/window"
)

const (
	fetchSpan      = 5000. // ms over which fetches are counted
	minSlowFetches = 3.0   // slow fetches below which their share isn't considered
	slowFetchShare = 0.5   // share of slow fetches above which the broker is no longer asked to fetch
)

// Fetches counts the answers for which a broker had to fetch cached prompt parts, and the slow ones
// among them. A link may become so slow that reading the parts again is faster than fetching them.
type Fetches struct{ all, slow *window.Counts }

// observe counts one answer with a fetch.
func (f *Fetches) observe(now core.Time, slow bool) {
	if f.all == nil {
		f.all, f.slow = window.NewCounts(6, fetchSpan/5), window.NewCounts(6, fetchSpan/5)
	}
	f.all.Add(units.Milliseconds(now), 1)
	if slow {
		f.slow.Add(units.Milliseconds(now), 1)
	}
}

// Slow reports whether most of the broker's recent fetches were slow.
func (f *Fetches) Slow(now core.Time) bool {
	if f.all == nil {
		return false
	}
	slow := f.slow.Sum(units.Milliseconds(now), fetchSpan)
	return slow >= minSlowFetches && slow > slowFetchShare*f.all.Sum(units.Milliseconds(now), fetchSpan)
}
