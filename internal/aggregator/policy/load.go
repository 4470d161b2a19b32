package policy

import "math"

const reportFadeSpan = 3000.0 // past its expiry, a load report fades over so many ms

// loadReports tells where load reports come from.
type loadReports struct {
	onAnswers, mayProbe bool
	fields              []Field
}

func (r *loadReports) onAnswersAvailable() bool { return len(r.fields) > 0 && r.onAnswers }

// recordReport keeps the count that a server reports, of requests in flight before one of its queue.
func (p *Policy) recordReport(server *serverState, values []float64) {
	best := Other
	for i, value := range values[:min(len(values), len(p.reports.fields))] {
		field := p.reports.fields[i]
		if field <= Busy || best != Other && field != InFlight {
			continue
		}
		if math.IsInf(server.loadReportedAt, -1) {
			p.predictor.reportingServers++
		}
		p.predictor.reportedLoad += value - server.load
		best = field
		server.load, server.loadReportedAt, server.waitingAtReport = value, p.now, len(server.waiting)
	}
}

// dropReport takes a server's last report out of the average.
func (p *Policy) dropReport(server *serverState) {
	if math.IsInf(server.loadReportedAt, -1) {
		return
	}
	p.predictor.reportingServers--
	p.predictor.reportedLoad -= server.load
	server.load, server.loadReportedAt = 0, math.Inf(-1)
}

// estimatedLoad is the last reported count with what this aggregator changed since; its own batches
// where no report comes with answers, as a health check for one tells of a queue that has passed,
// and costs; the average for a server that has not reported.
func (p *Policy) estimatedLoad(server *serverState) float64 {
	if !p.reports.onAnswersAvailable() {
		return float64(server.batches)
	}
	if math.IsInf(server.loadReportedAt, -1) {
		return p.predictor.avgLoad
	}
	weight := p.freshness(server.loadReportedAt)
	reported := server.load + float64(len(server.waiting)-server.waitingAtReport)
	return max(weight*reported+(1-weight)*p.predictor.avgLoad, 0)
}

// freshness fades a server's last report to the average: a queue that was long is not long for
// ever, and a server that is skipped for it does not report again.
func (p *Policy) freshness(reportedAt float64) float64 {
	return min(max(1-(p.now-reportedAt-historyExpiry)/reportFadeSpan, 0), 1)
}
