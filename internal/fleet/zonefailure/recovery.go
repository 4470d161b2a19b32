package zonefailure

// minRecoveryShare is the lower bound of the fleet's share in this aggregator's recovery of a site. With it, the probes of the
// site's servers are spread over eight recovery steps at most.
const minRecoveryShare = 0.125

// advanceRecovery begins, continues or completes the recovery of a lost or recovering site, one of whose servers has answered a
// sub-request or probe that was sent at sentAt. A recovery is complete when the step has passed, enough servers have answered and
// the fleet's share no longer limits it.
func (d *Detector) advanceRecovery(siteIndex int, site *siteState, sentAt float64) {
	if site.state == Lost {
		// An answer to a sub-request from before the loss shows that the site was slow and not lost. An answer to a later one
		// means that the site recovers.
		if sentAt < site.lostAt && !mutantLateAnswer && d.undoLoss(siteIndex, site) {
			return
		}
		d.beginRecovery(siteIndex, site)
	}
	site.recoveryAnswers++
	answered := site.recoveryAnswers >= min(d.config.MinRecoveryAnswers, max(site.readyServers, 1)) || mutantClock
	if answered && d.now >= site.recoveryStartedAt+site.recoveryStepMs && d.recoveryShare(site) >= 1 {
		d.changeState(siteIndex, Healthy, 0)
	}
}

// undoLoss counts a loss that a late answer has disproved as a false alarm, and reports whether the site is healthy at once. In a
// burst of load a whole site may exceed the latency of nearly all earlier answers. If its servers were then probed one by one, as
// in a recovery, the site would be out of use for seconds each time, and the other sites would have to take over its load. If the
// loss is older than Config.FalseAlarmWindowMs, the site was stalled rather than slow, and it recovers in steps: aggregators must
// not all send their load at once to a site that comes out of a stall.
func (d *Detector) undoLoss(siteIndex int, site *siteState) bool {
	d.FalseAlarms++
	site.recentLosses = max(site.recentLosses-1, 0)
	if d.now >= site.lostAt+d.config.FalseAlarmWindowMs {
		return false
	}
	d.changeState(siteIndex, Healthy, 0)
	d.changes[len(d.changes)-1].FalseAlarmMs = d.now - site.lostAt
	return true
}

// beginRecovery changes a site's state to Recovering. The recovery step is longer after each recent loss.
func (d *Detector) beginRecovery(siteIndex int, site *siteState) {
	site.recoveryStepMs = d.config.RecoveryStepMs
	for n := 1; n < site.recentLosses && !mutantRelapse; n++ {
		site.recoveryStepMs = min(site.recoveryStepMs*d.config.RelapseFactor, d.config.MaxRecoveryStepMs)
	}
	site.recoveryAnswers = 0
	site.recoveryStartedAt = d.now
	d.changeState(siteIndex, Recovering, site.recoveryStepMs/d.recoveryShare(site))
}

// HandleRecoveryShare records the share, from 0 to 1, up to which a site has recovered for the whole fleet. The aggregator that
// holds the lease for this task reported it ageMs milliseconds ago. The share slows this aggregator's own recovery of the site
// down, and has less effect the older it is. It neither declares a loss nor ends one.
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

// recoveryShare returns the share that applies now: the fleet's share, which rises linearly to 1 over Config.ReportFreshMs after
// its report, and at least minRecoveryShare.
func (d *Detector) recoveryShare(site *siteState) float64 {
	expired := min((d.now-site.fleetShareAt)/d.config.ReportFreshMs, 1)
	if !(expired >= 0) {
		expired = 1
	}
	return max(site.fleetShare+(1-site.fleetShare)*expired, minRecoveryShare)
}
