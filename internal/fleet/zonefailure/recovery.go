package zonefailure

// minRecoveryShare bounds how far the fleet's share slows probes down: to eight steps.
const minRecoveryShare = 0.125

// recover takes a site that is lost or recovering, of which a server answered what was sent at sentAt, onwards.
func (d *Detector) recover(siteIndex int, site *siteState, sentAt float64) {
	if site.state == Lost {
		// What was sent before the loss shows that there was none: the site was slow. What was sent after it is a recovery.
		if sentAt < site.lostAt && !mutantLateAnswer && d.undoLoss(siteIndex, site) {
			return
		}
		d.beginRecovery(siteIndex, site)
	}
	site.recoveryAnswers++
	answered := site.recoveryAnswers >= min(d.config.MinAnsweringServers, max(site.readyServers, 1)) || mutantClock
	if answered && d.now >= site.recoveryStartedAt+site.recoveryStepMs && d.recoveryShare(site) >= 1 {
		d.changeState(siteIndex, Healthy, 0)
	}
}

// undoLoss takes a loss back that was none, and tells whether the site is healthy at once. In a burst of load a whole site
// may be later than nearly all answers were. Probed server by server, as in a recovery, it would be out of use for seconds each
// time, and its work would fall on the others. After longer than FalseAlarmMs it was a stall rather than slowness, and
// what comes out of a stall must not be met by all brokers at once.
func (d *Detector) undoLoss(siteIndex int, site *siteState) bool {
	d.FalseAlarms++
	site.recentLosses = max(site.recentLosses-1, 0)
	if d.now >= site.lostAt+d.config.FalseAlarmMs {
		return false
	}
	d.changeState(siteIndex, Healthy, 0)
	d.changes[len(d.changes)-1].FalseAlarmMs = d.now - site.lostAt
	return true
}

// beginRecovery starts the first step, longer after each recent loss.
func (d *Detector) beginRecovery(siteIndex int, site *siteState) {
	site.recoveryStepMs = d.config.RecoveryStepMs
	for n := 1; n < site.recentLosses && !mutantRelapse; n++ {
		site.recoveryStepMs = min(site.recoveryStepMs*d.config.RelapseFactor, d.config.MaxRecoveryStepMs)
	}
	site.recoveryAnswers = 0
	site.recoveryStartedAt = d.now
	d.changeState(siteIndex, Recovering, site.recoveryStepMs/d.recoveryShare(site))
}

// HandleRecoveryShare takes the share, from 0 to 1, up to which a site has recovered for the whole fleet, as reported ageMs ago
// by the holder of that role. It slows this broker's own recovery down, the less the older it is; it neither makes a loss
// nor ends one.
func (d *Detector) HandleRecoveryShare(siteIndex int, share, ageMs float64) {
	site := d.site(siteIndex)
	if site == nil || !(share >= 0 && share <= 1) || !d.isFreshAge(ageMs) {
		return
	}
	reportedAt := d.now - ageMs
	if reportedAt < site.fleetShareAt {
		return
	}
	previous := d.recoveryShare(site)
	site.fleetShare, site.fleetShareAt = share, reportedAt
	current := d.recoveryShare(site)
	if site.state == Recovering && current >= previous+minRecoveryShare {
		d.changeState(siteIndex, Recovering, site.recoveryStepMs/current)
	}
}

// recoveryShare is the share in force: the fleet's while it is fresh, rising to all of the site as it expires.
func (d *Detector) recoveryShare(site *siteState) float64 {
	expired := min((d.now-site.fleetShareAt)/d.config.ReportFreshMs, 1)
	if !(expired >= 0) {
		expired = 1
	}
	return max(site.fleetShare+(1-site.fleetShare)*expired, minRecoveryShare)
}
