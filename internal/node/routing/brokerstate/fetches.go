package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/window"
)

const (
	fetchSpan      = 5000. // ms over which fetches are counted
	minSlowFetches = 3.0   // slow fetches before their share counts
	slowFetchShare = 0.5   // of the fetches: with more slow ones, the broker is asked for none
)

// Fetches counts the answers of a broker that had cached prompt parts to fetch, and the slow ones
// among them: a link may become so slow that reading the parts again is quicker.
type Fetches struct{ all, slow *window.Counts }

func (f *Fetches) observe(now core.Time, slow bool) {
	if f.all == nil {
		f.all, f.slow = window.NewCounts(6, fetchSpan/5), window.NewCounts(6, fetchSpan/5)
	}
	f.all.Add(units.Milliseconds(now), 1)
	if slow {
		f.slow.Add(units.Milliseconds(now), 1)
	}
}

// Slow reports whether most of the broker's fetches were slow recently.
func (f *Fetches) Slow(now core.Time) bool {
	if f.all == nil {
		return false
	}
	slow := f.slow.Sum(units.Milliseconds(now), fetchSpan)
	return slow >= minSlowFetches && slow > slowFetchShare*f.all.Sum(units.Milliseconds(now), fetchSpan)
}
