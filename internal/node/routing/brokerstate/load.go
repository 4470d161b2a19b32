package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

// reportDecayTime is the time in ms over which the trust in an expired report falls from 1 to 0.
const reportDecayTime = 3000.0

// Load is what a broker reports about itself in X-Kestrelspread-Server-Load: the requests that it
// runs, the requests that wait for a slot, and its number of slots.
type Load struct{ Running, Waiting, Slots int }

// loadReport is a broker's last report, with the number of this proxy's calls in flight at that
// time.
type loadReport struct {
	load       Load
	receivedAt core.Time
	known      bool
	inFlight   int
}

// RecordLoadReport records a report; nil: the answer contained none.
func (b *Broker) RecordLoadReport(now core.Time, load *Load) {
	if load == nil {
		return
	}
	b.report = loadReport{load: *load, receivedAt: now, known: true, inFlight: b.inFlight}
}

// LastReport returns the last report, however old, or a zero Load before the first one.
func (b *Broker) LastReport() Load { return b.report.load }

// RecentReport returns the last report, if there is one that isn't older than maxAge.
func (b *Broker) RecentReport(now, maxAge core.Time) (Load, bool) {
	if !b.report.known || now-b.report.receivedAt > maxAge {
		return Load{}, false
	}
	return b.report.load, true
}

// EstimatedLoad returns the last reported number of requests, corrected by what this proxy has sent
// and finished since, and how far the estimate can be trusted: 1 while the report is fresh, falling
// to 0 as it ages.
func (b *Broker) EstimatedLoad(now core.Time) (load, trust float64) {
	if !b.report.known {
		return 0, 0
	}
	reported := float64(b.report.load.Running + b.report.load.Waiting + b.inFlight - b.report.inFlight)
	age := units.Milliseconds(now - b.report.receivedAt)
	trust = min(max(1-(age-predict.HistoryExpiry)/reportDecayTime, 0), 1)
	return max(reported, 0), trust
}
