package zonefailure

import "math"

// evaluate decides whether a site is suspected, lost or no longer suspected. It never ends a loss: only RecordAnswer does.
func (d *Detector) evaluate(siteIndex int, site *siteState) {
	if site.recentLosses > 0 && site.state == Healthy && d.now > site.lastLossAt+d.config.LossMemoryMs {
		site.recentLosses = 0
	}
	if site.state == Lost {
		d.hintProbes(siteIndex, site)
		return
	}
	if site.readyServers < 2 || len(site.pendingServers) == 0 && site.state != Suspected {
		return
	}
	failed, firstSentAt := d.countFailed(site)
	required := d.requiredFailures(site)
	switch {
	case failed >= required && (d.otherSitesAnswer(siteIndex, firstSentAt, required) || mutantUncorroborated):
		d.declareLost(siteIndex, site)
	case failed*2 >= required && failed > 0 && site.state == Healthy:
		d.changeState(siteIndex, Suspected, 0)
	case failed*2 < required && site.state == Suspected:
		d.changeState(siteIndex, Healthy, 0)
	}
}

// requiredFailures returns how many servers of a site have to fail before the site is declared lost. If enough peers report the
// loss, half as many suffice, but at least two, or one in a site with a single ready server, as a loss is never declared without
// own observations.
func (d *Detector) requiredFailures(site *siteState) int {
	if mutantFew {
		return 1
	}
	required := min(d.config.MinFailedServers, site.readyServers)
	lost, healthy := d.countPeerReports(site, site.lastContactAt)
	if lost >= d.config.MinPeers && lost > healthy && !mutantUncorroborated {
		required = min(required, max(required/2, 2))
	}
	return required
}

// declareLost changes a site's state to Lost. It spreads the probes over a time in proportion to the number of servers, so that
// a large site receives no more probes per second than a small one.
func (d *Detector) declareLost(siteIndex int, site *siteState) {
	site.recentLosses++
	site.lostAt, site.lastLossAt = d.now, d.now
	spreadMs := d.config.ProbeIntervalMs * float64(site.readyServers)
	if mutantProbeBurst {
		spreadMs = 0
	}
	d.changeState(siteIndex, Lost, spreadMs)
}

// changeState sets a site's state and appends the change to those of this turn.
func (d *Detector) changeState(siteIndex int, to State, probeSpreadMs float64) {
	site := d.sites[siteIndex]
	failed, _ := d.countFailed(site)
	d.changes = append(d.changes, Change{
		Site:          siteIndex,
		From:          site.state,
		To:            to,
		ProbeSpreadMs: probeSpreadMs,
		FailedServers: failed,
		SilentMs:      d.now - site.lastContactAt,
		Isolated:      d.isIsolated(siteIndex),
	})
	site.state = to
}

// countFailed returns the number of a site's failed servers, and the earliest sending time of the sub-requests that show their
// failure, which is +Inf if no server has failed.
func (d *Detector) countFailed(site *siteState) (failed int, firstSentAt float64) {
	firstSentAt = math.Inf(1)
	for _, id := range site.pendingServers {
		server := &d.servers[id]
		if !d.hasFailed(server, site) {
			continue
		}
		failed++
		firstSentAt = min(firstSentAt, max(server.unansweredFrom(site), server.failedSentAt))
	}
	return failed, firstSentAt
}

// hasFailed reports whether a sub-request that was sent to the server after its site's last contact has failed or timed out.
// The time of a stall of this process does not count towards the timeout.
func (d *Detector) hasFailed(server *serverState, site *siteState) bool {
	if server.failedSentAt > site.lastContactAt {
		return true
	}
	sentAt := server.unansweredFrom(site)
	return sentAt > never && d.now-max(sentAt, d.stallEndedAt) > d.timeoutMs
}

// otherSitesAnswer reports whether sites other than except have answered sub-requests that were sent at or after since: at least
// half as many answers as the required failures, and at least twice as many answers as overdue servers. This rules out that the
// aggregator itself receives no answers, and that a burst of load makes all sites slow.
func (d *Detector) otherSitesAnswer(except int, since float64, required int) bool {
	answers, overdue := 0, 0
	for index, site := range d.sites {
		if index == except || site == nil || !d.inContact(site) {
			continue
		}
		for _, sentAt := range site.answeredSentAt {
			if sentAt >= since {
				answers++
			}
		}
		for _, id := range site.pendingServers {
			if d.isOverdue(&d.servers[id], since) {
				overdue++
			}
		}
	}
	return 2*answers >= required && answers >= 2*overdue
}

// inContact reports whether any server of the site has answered within Config.ContactFreshMs.
func (d *Detector) inContact(site *siteState) bool {
	return d.now-site.lastContactAt < d.config.ContactFreshMs
}

// isOverdue reports whether the server has exceeded the timeout with a sub-request that was sent to it at or after since.
func (d *Detector) isOverdue(server *serverState, since float64) bool {
	if server.inFlight == 0 || server.lastSentAt < since {
		return false
	}
	return d.now-max(server.unansweredSince, server.lastSentAt, d.stallEndedAt) > d.timeoutMs
}

// isIsolated reports whether no site answers except possibly this aggregator's own, leaving aside the site in question (except).
// It returns false if except is the aggregator's own site.
func (d *Detector) isIsolated(except int) bool {
	for index, site := range d.sites {
		if index == except || index == d.ownSite || site == nil {
			continue
		}
		if site.readyServers > 0 && d.inContact(site) {
			return false
		}
	}
	return except != d.ownSite
}
