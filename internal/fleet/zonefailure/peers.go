package zonefailure

// peerReport is a peer's observation of a site.
type peerReport struct {
	lost   bool
	seenAt float64 // when the peer made the observation, by this aggregator's clock
}

// maxPeerReports is the maximum number of peers whose reports are kept for a site.
const maxPeerReports = 256

// HandlePeerReport records a peer's observation of a site, which was made ageMs milliseconds ago. It has less weight than an own
// observation: it can neither declare a loss nor end one. If several peers report a loss, fewer failed servers suffice to
// declare it; if several report that a lost site answers, the site is probed sooner.
func (d *Detector) HandlePeerReport(peer string, siteIndex int, lost bool, ageMs float64) {
	site := d.site(siteIndex)
	if site == nil || !d.isFreshAge(ageMs) {
		return
	}
	if site.peerReports == nil {
		site.peerReports = map[string]peerReport{}
	}
	for other, report := range site.peerReports { // no timer is needed: there are few reports, and expired ones are deleted here
		if d.now-report.seenAt >= d.config.ReportFreshMs {
			delete(site.peerReports, other)
		}
	}
	seenAt := d.now - ageMs
	previous, known := site.peerReports[peer]
	switch {
	case known && previous.seenAt > seenAt: // a newer report of the same peer arrived first
		return
	case !known && len(site.peerReports) >= maxPeerReports:
		return
	}
	site.peerReports[peer] = peerReport{lost, seenAt}
}

// isFreshAge reports whether a report of this age still counts. It returns false for a negative age and for NaN.
func (d *Detector) isFreshAge(ageMs float64) bool {
	return ageMs >= 0 && ageMs < d.config.ReportFreshMs
}

// countPeerReports returns how many unexpired reports, made at or after since, say that the site is lost or healthy.
func (d *Detector) countPeerReports(site *siteState, since float64) (lost, healthy int) {
	for _, report := range site.peerReports {
		switch {
		case d.now-report.seenAt >= d.config.ReportFreshMs || report.seenAt < since:
		case report.lost:
			lost++
		default:
			healthy++
		}
	}
	return lost, healthy
}

// hintProbes adds a probe hint for a lost site if at least Config.MinPeers peers report that the site answers. Each report counts
// towards one hint only.
func (d *Detector) hintProbes(siteIndex int, site *siteState) {
	_, healthy := d.countPeerReports(site, max(site.lostAt, site.lastHintAt))
	if healthy < d.config.MinPeers {
		return
	}
	site.lastHintAt = d.now
	d.changes = append(d.changes, Change{
		Site:          siteIndex,
		From:          Lost,
		To:            Lost,
		ProbeSpreadMs: d.config.RecoveryStepMs,
		ProbeHint:     true,
		SilentMs:      d.now - site.lastContactAt,
	})
}
