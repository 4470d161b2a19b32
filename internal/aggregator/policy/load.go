package policy

import "math"

const reportFadeSpan = 3000.0 // ms over which an outdated load report fades

// loadReports says how load reports are obtained, and which fields they have.
type loadReports struct {
	onAnswers, mayProbe bool
	fields              []ReportField
}

// comeWithAnswers reports whether answers carry load reports.
func (r *loadReports) comeWithAnswers() bool { return len(r.fields) > 0 && r.onAnswers }

// recordReport keeps the number of requests that a server reports: those in flight if it reports
// them, else those in its queue.
func (p *Policy) recordReport(server *serverState, values []float64) {
	best := OtherField
	for i, value := range values[:min(len(values), len(p.reports.fields))] {
		field := p.reports.fields[i]
		if field <= BusyField || best != OtherField && field != InFlightField {
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

// dropReport removes a server's last report from the average of the fleet.
func (p *Policy) dropReport(server *serverState) {
	if math.IsInf(server.loadReportedAt, -1) {
		return
	}
	p.predictor.reportingServers--
	p.predictor.reportedLoad -= server.load
	server.load, server.loadReportedAt = 0, math.Inf(-1)
}

// estimatedLoad returns the load that a server last reported, adjusted by the change of what this
// aggregator has in flight there since. For a server that has not reported it is the fleet's
// average. Where answers carry no reports it is the number of this aggregator's batches in flight:
// a health check just for a report would be a cost, and would tell of a queue that has passed.
func (p *Policy) estimatedLoad(server *serverState) float64 {
	if !p.reports.comeWithAnswers() {
		return float64(server.batches)
	}
	if math.IsInf(server.loadReportedAt, -1) {
		return p.predictor.avgLoad
	}
	weight := p.freshness(server.loadReportedAt)
	reported := server.load + float64(len(server.waiting)-server.waitingAtReport)
	return max(weight*reported+(1-weight)*p.predictor.avgLoad, 0)
}

// freshness returns the weight of a server's last report against the fleet's average. It falls from
// 1 when the report is historyExpiry old to 0 after a further reportFadeSpan. Without it a server
// that once reported a long queue would be skipped for it, and so would never report again.
func (p *Policy) freshness(reportedAt float64) float64 {
	return min(max(1-(p.now-reportedAt-historyExpiry)/reportFadeSpan, 0), 1)
}
