// Package zonefailure tells the common failure of a whole site (hall, zone: one failure domain) from many single failures, by a
// broker's own observations, and when and how fast the site recovers. It is a reducer: events in, changes out; no I/O, no
// clock, no random choice. All times are in milliseconds of the caller's clock. What a site's state means for servers
// and searches is the module's to decide.
//
// The sign of a lost site is that nothing of it answers any more: of a burst of sub-requests to several of its servers, every
// one is in flight for longer than nearly all answers take, not one answer of the whole site has come since the first of them
// was sent, and other sites go on answering. Servers that fail each by itself have siblings that answer; a burst of load is slow
// everywhere; a process that was stalled heard nobody. So few servers suffice, and detection takes the time of one burst,
// where judging each server by itself takes one burst for each.
//
// Invariants: only own observation makes or ends a loss, never a peer's report; a site of which any server has answered
// since the burst is not lost; times passed to BeginTurn never fall.
package zonefailure

import (
	"math"

	"kestrelspread/internal/window"
)

// Detector is one broker's view of all sites.
type Detector struct {
	config           Config
	now              float64
	lastTurnAt       float64
	stallEndedAt     float64 // the end of the latest stall of this process
	ownSite          int
	latencyTargetMs  float64 // the shortest target
	initialTimeoutMs float64 // as configured, without regard to the target
	servers          []serverState
	sites            []*siteState
	latencies        *window.Histogram
	timeoutMs        float64
	timeoutUpdatedAt float64
	changes          []Change
	FalseAlarms      int // losses that late answers disproved
}

// New returns the view of a broker at ownSite, or -1.
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

// site returns a site by its index, or nil.
func (d *Detector) site(index int) *siteState {
	if index < 0 || index >= len(d.sites) {
		return nil
	}
	return d.sites[index]
}

// State returns what is believed of a site.
func (d *Detector) State(siteIndex int) State {
	if site := d.site(siteIndex); site != nil {
		return site.state
	}
	return Healthy
}

// RecentLosses is how often a site was lost within Config.LossMemoryMs.
func (d *Detector) RecentLosses(siteIndex int) int {
	if site := d.site(siteIndex); site != nil {
		return site.recentLosses
	}
	return 0
}

// TimeoutMs is the time without an answer after which a sub-request counts as failed.
func (d *Detector) TimeoutMs() float64 { return d.timeoutMs }

// SetLatencyTarget takes a query type's latency target. The shortest one counts.
func (d *Detector) SetLatencyTarget(targetMs float64) {
	if targetMs < d.latencyTargetMs {
		d.latencyTargetMs = targetMs
		d.config.InitialTimeoutMs = max(d.initialTimeoutMs, d.config.InitialTimeoutTargetShare*targetMs)
		d.timeoutMs = d.config.InitialTimeoutMs
	}
}

// BeginTurn opens a turn at a time. Times never fall.
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

func (d *Detector) updateTimeout() {
	latency, samples := d.latencies.Quantile(d.now, d.config.TimeoutQuantile)
	if samples >= 4*d.config.MinFailedServers {
		d.timeoutMs = max(latency*d.config.TimeoutFactor, d.config.MinTimeoutMs)
		return
	}
	d.timeoutMs = d.config.InitialTimeoutMs
}

// anyPending tells a stall from sleep: with nothing pending this process has no turns, and a long sleep is no stall.
func (d *Detector) anyPending() bool {
	for _, site := range d.sites {
		if site != nil && len(site.pendingServers) > 0 {
			return true
		}
	}
	return false
}

// SetServer takes an entry of the endpoint list: a server, its site (-1: none), and whether it may be asked.
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

// RemoveServer forgets a server: its index may be used again.
func (d *Detector) RemoveServer(id int) {
	if id < len(d.servers) {
		d.SetServer(id, -1, false)
		d.servers[id] = newServerState()
	}
}

// siteOf returns the site at which a server may be asked, or nil.
func (d *Detector) siteOf(server *serverState) *siteState {
	if server.site < 0 || !server.ready {
		return nil
	}
	return d.sites[server.site]
}

// RecordSent counts a sub-request that is sent to a server now.
func (d *Detector) RecordSent(id int) {
	server := &d.servers[id]
	server.inFlight++
	server.lastSentAt = d.now
	site := d.siteOf(server)
	if site == nil {
		return
	}
	// A server that is asked all the time always has something in flight. What counts is what was sent after its site's last
	// contact: no sibling has answered since.
	if server.unansweredSince <= site.lastContactAt {
		server.unansweredSince = d.now
	}
	site.addPending(id)
}

// RecordDone counts the end of a sub-request that was sent at sentAt. answered: the server has answered, in any way; else
// failed where nothing more need be waited for (unreachable, reset, timed out). Neither: it was cancelled or never sent.
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

// recordCancelled forgets what was cancelled before the server had to answer: it is no evidence.
func (d *Detector) recordCancelled(id int, server *serverState) {
	site := d.siteOf(server)
	if site == nil || d.hasFailed(server, site) {
		return
	}
	server.unansweredSince, server.lastSentAt = never, never
	site.removePending(id)
}

// RecordAnswer takes a server's answer to what was sent at sentAt, a probe perhaps.
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
		d.recover(server.site, site, sentAt)
	}
}

// EndTurn closes a turn and returns what changed, valid until the next one.
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
