package zonefailure

// peerReport is what a peer observed of a site, and when.
type peerReport struct {
	lost   bool
	seenAt float64
}

// maxPeerReports bounds the peers whose reports are kept for a site.
const maxPeerReports = 256

// HandlePeerReport takes a peer's report of a site, ageMs old. It is weaker than own observation: it can neither make a loss
// nor end one. With several peers that report the same, fewer failed servers suffice, and probes come sooner.
func (d *Detector) HandlePeerReport(peer string, siteIndex int, lost bool, ageMs float64) {
	site := d.site(siteIndex)
	if site == nil || !d.isFreshAge(ageMs) {
		return
	}
	if site.peerReports == nil {
		site.peerReports = map[string]peerReport{}
	}
	for other, report := range site.peerReports { // a few at most: expired ones go when a new one comes
		if d.now-report.seenAt >= d.config.ReportFreshMs {
			delete(site.peerReports, other)
		}
	}
	seenAt := d.now - ageMs
	previous, known := site.peerReports[peer]
	switch {
	case known && previous.seenAt > seenAt: // overtaken on its way by a newer one
		return
	case !known && len(site.peerReports) >= maxPeerReports:
		return
	}
	site.peerReports[peer] = peerReport{lost, seenAt}
}

// isFreshAge is false for a NaN, too.
func (d *Detector) isFreshAge(ageMs float64) bool {
	return ageMs >= 0 && ageMs < d.config.ReportFreshMs
}

// countPeerReports counts the fresh reports since a time, by what they say.
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

// hintProbes asks for probes of a lost site once peers report that it answers. Each report hints once.
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
