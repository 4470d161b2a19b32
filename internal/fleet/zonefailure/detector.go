// Package zonefailure detects from an aggregator's own observations that a whole site has failed, as opposed to many servers
// that fail independently, and decides when and how fast the site recovers. A site is one failure domain, which other packages
// call a zone. The Detector is a reducer: it turns events into changes, without I/O, clock or random choice. The caller passes
// events in turns, each one iteration of its event loop, between BeginTurn and EndTurn. All times are in milliseconds of the caller's
// clock. The policy (internal/aggregator/policy) decides what a site's state means for servers and searches.
//
// A site counts as lost when none of its servers answers any more: after a burst of sub-requests to several of its servers, each
// of these has been in flight for longer than nearly all answers take, no server of the site has answered since the first of them
// was sent, and other sites go on answering. These conditions rule out other causes: servers that fail independently have
// siblings in the site that answer; in a burst of load all sites are slow; a process that was stalled received no answers from
// any site. A few servers are therefore enough evidence, and detection takes the time of one burst, whereas judging each server
// separately takes one burst for each.
//
// Invariants: only own observations declare or end a loss, never a peer's report; a site of which any server has answered
// since the burst is not lost; times passed to BeginTurn never decrease.
package zonefailure

import (
	"math"

	"kestrelspread/internal/window"
)

// Detector holds one aggregator's observations of all sites and servers, and the state of each site.
type Detector struct {
	config           Config
	now              float64 // time of the current turn
	lastTurnAt       float64 // time of the latest turn, or never
	stallEndedAt     float64 // end of this process's latest stall, or never
	ownSite          int     // index of the aggregator's own site; -1: none
	latencyTargetMs  float64 // shortest latency target of all query types
	initialTimeoutMs float64 // as configured, before it is raised for the latency target
	servers          []serverState
	sites            []*siteState      // by index; nil: no ready server so far
	latencies        *window.Histogram // of answers, in milliseconds
	timeoutMs        float64
	timeoutUpdatedAt float64
	changes          []Change // of the current turn
	FalseAlarms      int      // number of losses that late answers have disproved
}

// New returns the detector of an aggregator at ownSite, which is -1 if the aggregator belongs to no site.
func New(config Config, ownSite int) *Detector {
	return &Detector{
		config:           config,
		ownSite:          ownSite,
		latencyTargetMs:  math.Inf(1),
		initialTimeoutMs: config.InitialTimeoutMs,
		latencies:        window.NewHistogram(10, 1000, 1, 1.1, 100),
		lastTurnAt:       never,
		stallEndedAt:     never,
		timeoutUpdatedAt: never,
		timeoutMs:        config.InitialTimeoutMs,
	}
}

// site returns the site with the given index, or nil if none is known.
func (d *Detector) site(index int) *siteState {
	if index < 0 || index >= len(d.sites) {
		return nil
	}
	return d.sites[index]
}

// State returns the state of a site, which is Healthy for an unknown site.
func (d *Detector) State(siteIndex int) State {
	if site := d.site(siteIndex); site != nil {
		return site.state
	}
	return Healthy
}

// RecentLosses returns how often a site has been lost. It restarts from 0 when a healthy site's latest loss is more than
// Config.LossMemoryMs ago.
func (d *Detector) RecentLosses(siteIndex int) int {
	if site := d.site(siteIndex); site != nil {
		return site.recentLosses
	}
	return 0
}

// TimeoutMs returns the time without an answer, in milliseconds, after which a sub-request counts as failed.
func (d *Detector) TimeoutMs() float64 { return d.timeoutMs }

// SetLatencyTarget sets the latency target of a query type, in milliseconds. The shortest target of all types determines the
// initial timeout.
func (d *Detector) SetLatencyTarget(targetMs float64) {
	if targetMs < d.latencyTargetMs {
		d.latencyTargetMs = targetMs
		d.config.InitialTimeoutMs = max(d.initialTimeoutMs, d.config.InitialTimeoutTargetShare*targetMs)
		d.timeoutMs = d.config.InitialTimeoutMs
	}
}

// BeginTurn begins a turn of events at the given time, which must not be before that of the previous turn.
func (d *Detector) BeginTurn(now float64) {
	stalled := now > d.lastTurnAt+d.config.StallMs && !math.IsInf(d.lastTurnAt, 0) && d.anyPending()
	if stalled && !mutantStall {
		d.stallEndedAt = now
	}
	d.now, d.lastTurnAt = now, now
	if now >= d.timeoutUpdatedAt+d.config.ContactFreshMs/10 {
		d.timeoutUpdatedAt = now
		d.updateTimeout()
	}
}

// updateTimeout derives the timeout from the observed latencies, or uses the initial timeout while there are too few of them.
func (d *Detector) updateTimeout() {
	latency, samples := d.latencies.Quantile(d.now, d.config.TimeoutQuantile)
	if samples >= 4*d.config.MinFailedServers {
		d.timeoutMs = max(latency*d.config.TimeoutFactor, d.config.MinTimeoutMs)
		return
	}
	d.timeoutMs = d.config.InitialTimeoutMs
}

// anyPending reports whether any site has pending servers. Without them this process has no turns to run, so a long time
// between two turns is idleness and no stall.
func (d *Detector) anyPending() bool {
	for _, site := range d.sites {
		if site != nil && len(site.pendingServers) > 0 {
			return true
		}
	}
	return false
}

// SetServer adds or updates a server as the endpoint list has it: its site (-1: none), and whether it is ready for sub-requests.
func (d *Detector) SetServer(id, siteIndex int, ready bool) {
	for len(d.servers) <= id {
		d.servers = append(d.servers, newServerState())
	}
	server := &d.servers[id]
	if server.ready && server.site >= 0 {
		previous := d.sites[server.site]
		previous.readyServers--
		previous.removePending(id)
	}
	server.ready = ready
	if !ready {
		server.unansweredSince, server.lastSentAt, server.failedSentAt = never, never, never
		return
	}
	server.site = siteIndex
	if siteIndex < 0 {
		return
	}
	for len(d.sites) <= siteIndex {
		d.sites = append(d.sites, nil)
	}
	if d.sites[siteIndex] == nil {
		d.sites[siteIndex] = newSiteState(d.config.RecoveryStepMs)
	}
	site := d.sites[siteIndex]
	site.readyServers++
	if server.inFlight > 0 || server.failedSentAt > never {
		site.addPending(id)
	}
}

// RemoveServer removes a server. Its index may then be used for another one.
func (d *Detector) RemoveServer(id int) {
	if id < len(d.servers) {
		d.SetServer(id, -1, false)
		d.servers[id] = newServerState()
	}
}

// siteOf returns the site of a server, or nil if the server has none or is not ready.
func (d *Detector) siteOf(server *serverState) *siteState {
	if server.site < 0 || !server.ready {
		return nil
	}
	return d.sites[server.site]
}

// RecordSent records that a sub-request is sent to a server in this turn.
func (d *Detector) RecordSent(id int) {
	server := &d.servers[id]
	server.inFlight++
	server.lastSentAt = d.now
	site := d.siteOf(server)
	if site == nil {
		return
	}
	// A busy server always has sub-requests in flight, which alone means nothing. Only those that were sent after its site's
	// last contact count: since then no other server of the site has answered either.
	if server.unansweredSince <= site.lastContactAt {
		server.unansweredSince = d.now
	}
	site.addPending(id)
}

// RecordDone records the end of a sub-request that was sent at sentAt. answered is set if the server has answered in any way,
// also with an error; failed is set if no answer can follow (unreachable, reset or timed out). Neither is set if the sub-request
// was cancelled or never sent.
func (d *Detector) RecordDone(id int, sentAt float64, answered, failed bool) {
	server := &d.servers[id]
	server.inFlight = max(server.inFlight-1, 0)
	switch {
	case answered:
		if d.now > d.stallEndedAt {
			d.latencies.Add(d.now, max(d.now-sentAt, 1))
		}
		d.RecordAnswer(id, sentAt)
	case failed:
		server.failedSentAt = max(server.failedSentAt, sentAt)
	case server.inFlight == 0:
		d.recordCancelled(id, server)
	}
}

// recordCancelled clears the sending times of a server with nothing left in flight, unless it has failed already. A sub-request
// that was cancelled before its timeout is no evidence against the server.
func (d *Detector) recordCancelled(id int, server *serverState) {
	site := d.siteOf(server)
	if site == nil || d.hasFailed(server, site) {
		return
	}
	server.unansweredSince, server.lastSentAt = never, never
	site.removePending(id)
}

// RecordAnswer records a server's answer to a sub-request or probe that was sent at sentAt.
func (d *Detector) RecordAnswer(id int, sentAt float64) {
	server := &d.servers[id]
	server.failedSentAt = never
	site := d.siteOf(server)
	if site == nil {
		return
	}
	site.recordContact(d.now, sentAt)
	if server.inFlight == 0 {
		site.removePending(id)
	}
	if site.state == Lost || site.state == Recovering {
		d.advanceRecovery(server.site, site, sentAt)
	}
}

// EndTurn ends the turn and returns the changes in it. The slice is valid until the next turn begins.
func (d *Detector) EndTurn() []Change {
	for index, site := range d.sites {
		if site != nil {
			d.evaluate(index, site)
		}
	}
	changes := d.changes
	d.changes = d.changes[:0]
	return changes
}
