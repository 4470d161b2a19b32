package brokerstate

import (
	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/routing/units"
	"kestrelspread/internal/predict"
)

// reportFade is the time, ms, over which an expired report fades to the average.
const reportDecayTime = 3000.0

// Load is what a broker reports of itself in X-Kestrelspread-Server-Load: requests that run there,
// requests that wait for a slot, and slots in all.
type Load struct{ Running, Waiting, Slots int }

// loadReport is a broker's last report, with this proxy's own requests there at that time.
type loadReport struct {
	load       Load
	receivedAt core.Time
	known      bool
	inFlight   int
}

// ReportLoad takes a report in; nil: there was none.
func (b *Broker) ReportLoad(now core.Time, load *Load) {
	if load == nil {
		return
	}
	b.report = loadReport{load: *load, receivedAt: now, known: true, inFlight: b.inFlight}
}

// LastReport is the last report, however old; zero before the first.
func (b *Broker) LastReport() Load { return b.report.load }

// RecentReport is the last report, if there is one that isn't older than maxAge.
func (b *Broker) RecentReport(now, maxAge core.Time) (Load, bool) {
	if !b.report.known || now-b.report.receivedAt > maxAge {
		return Load{}, false
	}
	return b.report.load, true
}

// EstimatedLoad is the last reported number of requests, corrected by what this proxy sent and
// finished since, and how far it can be trusted: 1 while the report is fresh, fading to 0.
func (b *Broker) EstimatedLoad(now core.Time) (load, trust float64) {
	if !b.report.known {
		return 0, 0
	}
	reported := float64(b.report.load.Running + b.report.load.Waiting + b.inFlight - b.report.inFlight)
	age := units.Milliseconds(now - b.report.receivedAt)
	trust = min(max(1-(age-predict.HistoryExpiry)/reportDecayTime, 0), 1)
	return max(reported, 0), trust
}
