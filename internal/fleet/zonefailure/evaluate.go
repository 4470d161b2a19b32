package zonefailure

import "math"

// evaluate decides whether a site is suspected, lost, or no longer suspected. Only RecordAnswer ends a loss.
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
	case failed >= required && (d.otherSitesAnswer(siteIndex, firstSentAt, required) || mutantHearsay):
		d.declareLost(siteIndex, site)
	case failed*2 >= required && failed > 0 && site.state == Healthy:
		d.changeState(siteIndex, Suspected, 0)
	case failed*2 < required && site.state == Suspected:
		d.changeState(siteIndex, Healthy, 0)
	}
}

// requiredFailures is how many servers have to fail for a loss. Peers that agree halve it: own observation is still needed.
func (d *Detector) requiredFailures(site *siteState) int {
	if mutantFew {
		return 1
	}
	required := min(d.config.MinFailedServers, site.readyServers)
	lost, healthy := d.countPeerReports(site, site.lastContactAt)
	if lost >= d.config.MinPeers && lost > healthy && !mutantHearsay {
		required = min(required, max(required/2, 2))
	}
	return required
}

// declareLost spreads probes by the number of servers, so that a large site gets no more of them than a small one.
func (d *Detector) declareLost(siteIndex int, site *siteState) {
	site.recentLosses++
	site.lostAt, site.lastLossAt = d.now, d.now
	spreadMs := d.config.ProbeIntervalMs * float64(site.readyServers)
	if mutantProbeBurst {
		spreadMs = 0
	}
	d.changeState(siteIndex, Lost, spreadMs)
}

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

// countFailed counts a site's failed servers, and returns when the first of what they failed was sent.
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

// hasFailed: the server was asked after its site's last contact, and has not answered in time.
func (d *Detector) hasFailed(server *serverState, site *siteState) bool {
	if server.failedSentAt > site.lastContactAt {
		return true
	}
	sentAt := server.unansweredFrom(site)
	return sentAt > never && d.now-max(sentAt, d.stallEndedAt) > d.timeoutMs
}

// otherSitesAnswer: other sites answer what was sent to them since a time, most of it in time. So it is neither this broker that
// receives nothing, nor a burst of load that is slow everywhere.
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

func (d *Detector) inContact(site *siteState) bool {
	return d.now-site.lastContactAt < d.config.ContactFreshMs
}

// isOverdue: a server hasn't answered in time what was sent to it since a time.
func (d *Detector) isOverdue(server *serverState, since float64) bool {
	if server.inFlight == 0 || server.lastSentAt < since {
		return false
	}
	return d.now-max(server.unansweredSince, server.lastSentAt, d.stallEndedAt) > d.timeoutMs
}

// isIsolated: no site answers but this broker's own, the one in question aside.
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
