// Package zonefailure tells the common failure of a whole site (hall, zone) from many single ones, by a broker's own sight, and
// when and how fast it returns. It is a reducer: events in, changes out; no I/O, no clock, no chance. What a site's state
// means for servers and searches is the module's to decide.
//
// The sign of a lost site is that nothing of it answers any more: of a burst of sub-requests to several of its servers,
// every one is out for longer than nearly all answers take, not one answer of the whole site has come since the first of
// them went, and other sites go on answering. Servers that are bad each for itself have mates that answer; a crowd is
// slow everywhere; a broker that stood still heard nobody. So few servers suffice, and it takes the time of one burst,
// where judging each server by itself takes one for each.
package zonefailure

import (
	"math"

	"kestrelspread/internal/window"
)

// State is what a broker believes of a site.
type State uint8

// The states of a site.
const (
	Healthy    State = iota
	Suspected        // some of it fails together, too few to tell
	Lost             // nothing of it answers
	Recovering       // it answers again, and is tried in steps
)

var stateNames = [...]string{"well", "doubted", "lost", "returning"}

func (s State) String() string { return stateNames[s] }

// Config are the thresholds. What they are in practice is measured in docs/measure/site.md.
type Config struct {
	MinFailedServers          int     // so many servers of a burst, each failing, make a loss; a site of fewer needs all of them
	TimeoutQuantile           float64 // quantile of latencies past which a sub-request counts as failing
	TimeoutFactor             float64 // and so many of these
	MinTimeoutMs              float64 // ms, whatever the quantile
	InitialTimeoutMs          float64 // ms: the line before enough answers have been seen, at least
	InitialTimeoutTargetShare float64 // and this share of the shortest latency target: who works for seconds answers nothing in a quarter of one
	StallMs                   float64 // ms without a turn: this broker stood still, and what it did not hear says nothing
	ProbeIntervalMs           float64 // ms between two trials at a lost site, by this broker
	RecoveryStepMs            float64 // ms over which a returning site's servers are tried
	RelapseFactor             float64 // each loss within Calm makes the next return so many times slower
	MaxRecoveryStepMs         float64 // ms, the longest step
	MinAnsweringServers       int     // answering servers that end a return
	FalseAlarmMs              float64 // ms: a loss that is proven wrong within so long is taken back, and not returned from in steps
	LossMemoryMs              float64 // ms without a loss, after which earlier ones are forgotten
	ContactFreshMs            float64 // ms for which another site's answer shows that this broker hears at all
	ReportFreshMs             float64 // ms for which what a peer saw counts
	MinPeers                  int     // so many of them have to say the same
}

// DefaultConfig are the rules that brokers go by.
var DefaultConfig = Config{MinFailedServers: 5, TimeoutQuantile: 0.95, TimeoutFactor: 1.25, MinTimeoutMs: 25, InitialTimeoutMs: 250, InitialTimeoutTargetShare: 0.5, StallMs: 100, ProbeIntervalMs: 500, RecoveryStepMs: 250, RelapseFactor: 2,
	MaxRecoveryStepMs: 8000, MinAnsweringServers: 3, FalseAlarmMs: 1000, LossMemoryMs: 60000, ContactFreshMs: 2000, ReportFreshMs: 5000, MinPeers: 2}

// Change is what became of a site. Spread is over how many ms its servers are to be tried, by chance: at a lost site so
// that trials stay few however many servers it has, at a returning one so that brokers do not come as one.
type Change struct {
	Site          int
	From          State
	To            State
	ProbeSpreadMs float64
	FailedServers int     // servers that failed together
	SilentMs      float64 // ms since anything of the site was heard
	Isolated      bool    // no other site but this broker's own answers: it may be this broker that is cut off
	FalseAlarmMs  float64 // ms since a loss that there was not, to be undone; 0: nothing is
	ProbeHint     bool    // nothing changed, but peers hear of it again: trials are worth while now
}

type serverState struct {
	site            int // -1: none
	ready           bool
	inFlight        int
	unansweredSince float64 // when the first went, of those sent since its site was last heard; -Inf: none
	lastSentAt      float64 // when the latest went
	failedSentAt    float64 // when that went which failed with no more to wait for (unreachable, reset, timed out), or -Inf
}

type siteState struct {
	state             State
	readyServers      int     // listed
	lastContactAt     float64 // the latest answer of any of its servers
	pendingServers    []int   // servers with something out or failed since the latest answer
	lostAt            float64 // when it was held to be lost
	recentLosses      int     // lately
	recoveryAnswers   int     // servers that answered in this return
	recoveryStepMs    float64
	recoveryStartedAt float64 // when the return began
	lastLossAt        float64
	peerReports       map[string]peerReport // by peer
	fleetShare        float64               // the fleet's stage of its return, and when that was so
	fleetShareAt      float64
	lastHintAt        float64
	answeredSentAt    [recentAnswers]float64 // when that was sent which it answered lately, in a ring
	answerCount       int
}

const recentAnswers = 16

// peerReport is what a peer saw, and when.
type peerReport struct {
	lost   bool
	seenAt float64
}

const maxPeerReports = 256 // whose word is kept for a site

// Detector is one broker's view.
type Detector struct {
	config           Config
	now              float64
	lastTurnAt       float64 // the latest turn's time
	stallEndedAt     float64 // the end of the latest standstill
	ownSite          int
	latencyTargetMs  float64 // the shortest target
	initialTimeoutMs float64
	servers          []serverState
	sites            []*siteState
	latencies        *window.Hist
	timeoutMs        float64
	timeoutUpdatedAt float64
	changes          []Change
	FalseAlarms      int // losses that late answers proved wrong
}

// New makes the view of a broker at a site of its own, or -1.
func New(rules Config, own int) *Detector {
	return &Detector{config: rules, ownSite: own, latencyTargetMs: math.Inf(1), initialTimeoutMs: rules.InitialTimeoutMs, latencies: window.NewHist(10, 1000, 1, 1.1, 100), lastTurnAt: math.Inf(-1),
		stallEndedAt: math.Inf(-1), timeoutUpdatedAt: math.Inf(-1), timeoutMs: rules.InitialTimeoutMs}
}

// State gives what is believed of a site.
func (v *Detector) State(at int) State {
	if at >= 0 && at < len(v.sites) && v.sites[at] != nil {
		return v.sites[at].state
	}
	return Healthy
}

// SetLatencyTarget is a query type's latency target, in ms.
func (v *Detector) SetLatencyTarget(aim float64) {
	if aim < v.latencyTargetMs {
		v.latencyTargetMs = aim
		v.config.InitialTimeoutMs = max(v.initialTimeoutMs, v.config.InitialTimeoutTargetShare*aim)
		v.timeoutMs = v.config.InitialTimeoutMs
	}
}

// TimeoutMs is after how long without an answer a sub-request counts as failing, in ms.
func (v *Detector) TimeoutMs() float64 { return v.timeoutMs }

// RecentLosses is how often a site was held to be lost within the calm.
func (v *Detector) RecentLosses(at int) int {
	if at >= 0 && at < len(v.sites) && v.sites[at] != nil {
		return v.sites[at].recentLosses
	}
	return 0
}

// BeginTurn opens a turn. Times never fall.
func (v *Detector) BeginTurn(now float64) {
	if now > v.lastTurnAt+v.config.StallMs && !math.IsInf(v.lastTurnAt, 0) && v.anyPending() && !mutantStall {
		v.stallEndedAt = now
	}
	v.now, v.lastTurnAt = now, now
	if now >= v.timeoutUpdatedAt+v.config.ContactFreshMs/10 {
		v.timeoutUpdatedAt = now
		if q, n := v.latencies.Quantile(now, v.config.TimeoutQuantile); n >= 4*v.config.MinFailedServers {
			v.timeoutMs = max(q*v.config.TimeoutFactor, v.config.MinTimeoutMs)
		} else {
			v.timeoutMs = v.config.InitialTimeoutMs
		}
	}
}

// anyPending: without anything out this broker sleeps, and a long sleep is no standstill.
func (v *Detector) anyPending() bool {
	for _, s := range v.sites {
		if s != nil && len(s.pendingServers) > 0 {
			return true
		}
	}
	return false
}

// SetServer is news of the list.
func (v *Detector) SetServer(id, at int, listed bool) {
	for len(v.servers) <= id {
		v.servers = append(v.servers, newServerState())
	}
	s := &v.servers[id]
	if s.ready && s.site >= 0 {
		v.sites[s.site].readyServers--
		v.removePending(id)
	}
	s.ready = listed
	if listed {
		s.site = at
	}
	if !listed || at < 0 {
		if !listed {
			s.unansweredSince, s.lastSentAt, s.failedSentAt = never, never, never
		}
		return
	}
	for len(v.sites) <= at {
		v.sites = append(v.sites, nil)
	}
	if v.sites[at] == nil {
		v.sites[at] = &siteState{lastContactAt: math.Inf(-1), recoveryStepMs: v.config.RecoveryStepMs, lastLossAt: math.Inf(-1), fleetShare: 1, fleetShareAt: math.Inf(-1)}
	}
	v.sites[at].readyServers++
	if s.inFlight > 0 || s.failedSentAt > never {
		v.addPending(id)
	}
}

// RemoveServer forgets a server: its index may be used again.
func (v *Detector) RemoveServer(id int) {
	if id < len(v.servers) {
		v.SetServer(id, -1, false)
		v.servers[id] = newServerState()
	}
}

var never = math.Inf(-1)

func newServerState() serverState {
	return serverState{site: -1, unansweredSince: never, lastSentAt: never, failedSentAt: never}
}

func (v *Detector) addPending(id int) {
	p := v.sites[v.servers[id].site]
	for _, i := range p.pendingServers {
		if i == id {
			return
		}
	}
	p.pendingServers = append(p.pendingServers, id)
}

func (v *Detector) removePending(id int) {
	p := v.sites[v.servers[id].site]
	for j, i := range p.pendingServers {
		if i == id {
			p.pendingServers = append(p.pendingServers[:j], p.pendingServers[j+1:]...)
			return
		}
	}
}

// RecordSent counts a sub-request that went to a server.
func (v *Detector) RecordSent(id int) {
	s := &v.servers[id]
	s.inFlight++
	s.lastSentAt = v.now
	if s.site >= 0 && s.ready {
		// A server that is asked all the time always has something out; what went after its site was last heard is what
		// its mates have not answered for.
		if s.unansweredSince <= v.sites[s.site].lastContactAt {
			s.unansweredSince = v.now
		}
		v.addPending(id)
	}
}

// RecordDone counts the end of one that went at a time. alive: an answer of any kind has come from the server;
// else failing where no more need be waited for (unreachable, reset, timed out), and neither where it was
// called off or never sent.
func (v *Detector) RecordDone(id int, sent float64, alive, failing bool) {
	s := &v.servers[id]
	s.inFlight = max(s.inFlight-1, 0)
	switch {
	case alive:
		if v.now > v.stallEndedAt {
			v.latencies.Add(v.now, max(v.now-sent, 1))
		}
		v.RecordAnswer(id, sent)
	case failing:
		s.failedSentAt = max(s.failedSentAt, sent)
	case s.inFlight == 0 && s.site >= 0 && s.ready:
		if p := v.sites[s.site]; !v.hasFailed(s, p) { // called off before it had to answer: nothing is known
			s.unansweredSince, s.lastSentAt = never, never
			v.removePending(id)
		}
	}
}

// RecordAnswer tells that a server answered what was sent at a time, a probe perhaps.
func (v *Detector) RecordAnswer(id int, sent float64) {
	s := &v.servers[id]
	s.failedSentAt = never
	if s.site < 0 || !s.ready {
		return
	}
	p := v.sites[s.site]
	p.lastContactAt = v.now
	p.answeredSentAt[p.answerCount%recentAnswers] = sent
	p.answerCount++
	if s.inFlight == 0 {
		v.removePending(id)
	}
	if p.state != Lost && p.state != Recovering {
		return
	}
	// What was sent before the loss shows that there was none: the site was slow. What was sent after it is a return.
	if p.state == Lost {
		if sent < p.lostAt && !mutantLateAnswer {
			v.FalseAlarms++
			p.recentLosses = max(p.recentLosses-1, 0)
			// In a crowd a whole site may be later than nearly all answers were. Tried server by server as one that returns, it
			// would be out of use for seconds each time, and its work on the others. After longer it is no slowness but a
			// stall, and what comes out of one is not to be met by all at once.
			if v.now < p.lostAt+v.config.FalseAlarmMs {
				v.changeState(s.site, Healthy, 0)
				v.changes[len(v.changes)-1].FalseAlarmMs = v.now - p.lostAt
				return
			}
		}
		p.recoveryStepMs = v.config.RecoveryStepMs
		for n := 1; n < p.recentLosses && !mutantRelapse; n++ {
			p.recoveryStepMs = min(p.recoveryStepMs*v.config.RelapseFactor, v.config.MaxRecoveryStepMs)
		}
		p.recoveryAnswers, p.recoveryStartedAt = 0, v.now
		v.changeState(s.site, Recovering, p.recoveryStepMs/v.recoveryShare(p))
	}
	if p.recoveryAnswers++; (p.recoveryAnswers >= min(v.config.MinAnsweringServers, max(p.readyServers, 1)) || mutantClock) && v.now >= p.recoveryStartedAt+p.recoveryStepMs && v.recoveryShare(p) >= 1 {
		v.changeState(s.site, Healthy, 0)
	}
}

// HandlePeerReport takes what a peer reports: that it saw a site lost, or was told so, age milliseconds ago. That is
// weaker than own sight: it can neither make a loss nor end one. With several who say the same, fewer
// servers of a burst suffice, and trials come sooner.
func (v *Detector) HandlePeerReport(peer string, at int, lost bool, age float64) {
	if at < 0 || at >= len(v.sites) || v.sites[at] == nil || !(age >= 0 && age < v.config.ReportFreshMs) {
		return
	}
	p := v.sites[at]
	if p.peerReports == nil {
		p.peerReports = map[string]peerReport{}
	}
	for who, t := range p.peerReports { // a few at most: what is old goes when something new comes
		if v.now-t.seenAt >= v.config.ReportFreshMs {
			delete(p.peerReports, who)
		}
	}
	was, known := p.peerReports[peer]
	if known && was.seenAt > v.now-age || !known && len(p.peerReports) >= maxPeerReports {
		return // an older word than the one that is held, or one too many
	}
	p.peerReports[peer] = peerReport{lost, v.now - age}
}

// HandleRecoveryShare takes what the pacer of the whole fleet's returns reports: how far a site had come age
// milliseconds ago. It slows this broker's own return down, the less the older it is; it neither makes a
// loss nor ends one.
func (v *Detector) HandleRecoveryShare(at int, share, age float64) {
	if at < 0 || at >= len(v.sites) || v.sites[at] == nil || !(share >= 0 && share <= 1) || !(age >= 0 && age < v.config.ReportFreshMs) {
		return
	}
	p := v.sites[at]
	if v.now-age < p.fleetShareAt {
		return
	}
	was := v.recoveryShare(p)
	p.fleetShare, p.fleetShareAt = share, v.now-age
	if is := v.recoveryShare(p); p.state == Recovering && is >= was+minRecoveryShare {
		v.changeState(at, Recovering, p.recoveryStepMs/is)
	}
}

const minRecoveryShare = 0.125 // no stage holds trials up for longer than eight steps

// recoveryShare is the share in force: the fleet's while it is fresh, and all of it once it is old.
func (v *Detector) recoveryShare(p *siteState) float64 {
	old := min((v.now-p.fleetShareAt)/v.config.ReportFreshMs, 1)
	if !(old >= 0) {
		old = 1
	}
	return max(p.fleetShare+(1-p.fleetShare)*old, minRecoveryShare)
}

// countPeerReports counts the peers that lately saw a site lost since a time, and those that heard of it.
func (v *Detector) countPeerReports(p *siteState, since float64) (lost, well int) {
	for _, t := range p.peerReports {
		switch {
		case v.now-t.seenAt >= v.config.ReportFreshMs || t.seenAt < since:
		case t.lost:
			lost++
		default:
			well++
		}
	}
	return lost, well
}

func (v *Detector) changeState(at int, to State, spread float64) {
	p := v.sites[at]
	failed := 0
	for _, id := range p.pendingServers {
		if v.hasFailed(&v.servers[id], p) {
			failed++
		}
	}
	v.changes = append(v.changes, Change{Site: at, From: p.state, To: to, ProbeSpreadMs: spread, FailedServers: failed,
		SilentMs: v.now - p.lastContactAt, Isolated: v.isIsolated(at)})
	p.state = to
}

// unansweredFrom is when that went which a server has not answered while its site was mute, or never. What went before the site was
// last heard has mates that answered since: such a server fails by itself.
func (s *serverState) unansweredFrom(p *siteState) float64 {
	switch {
	case s.unansweredSince > p.lastContactAt || mutantSiblings:
		return s.unansweredSince
	case s.lastSentAt > p.lastContactAt:
		return s.lastSentAt
	}
	return never
}

// hasFailed: it was asked after anything of its site was last heard, and has not answered in time.
func (v *Detector) hasFailed(s *serverState, p *siteState) bool {
	if s.failedSentAt > p.lastContactAt {
		return true
	}
	since := s.unansweredFrom(p)
	return since > never && v.now-max(since, v.stallEndedAt) > v.timeoutMs
}

// otherSitesAnswer: other sites answer what was sent to them from a time on, most of it in time. So it is neither this broker that
// hears nobody, nor a crowd that is slow everywhere.
func (v *Detector) otherSitesAnswer(but int, from float64, few int) bool {
	answers, overdue := 0, 0
	for i, p := range v.sites {
		if i == but || p == nil || v.now-p.lastContactAt >= v.config.ContactFreshMs {
			continue
		}
		for _, sent := range p.answeredSentAt {
			if sent >= from {
				answers++
			}
		}
		for _, id := range p.pendingServers {
			if s := &v.servers[id]; s.inFlight > 0 && s.lastSentAt >= from && v.now-max(s.unansweredSince, s.lastSentAt, v.stallEndedAt) > v.timeoutMs {
				overdue++
			}
		}
	}
	return 2*answers >= few && answers >= 2*overdue
}

// isIsolated: nobody but the own site answers.
func (v *Detector) isIsolated(but int) bool {
	for i, p := range v.sites {
		if i != but && i != v.ownSite && p != nil && p.readyServers > 0 && v.now-p.lastContactAt < v.config.ContactFreshMs {
			return false
		}
	}
	return but != v.ownSite
}

// EndTurn closes a turn and gives what changed, valid until the next one.
func (v *Detector) EndTurn() []Change {
	for at, p := range v.sites {
		if p == nil {
			continue
		}
		if p.recentLosses > 0 && p.state == Healthy && v.now > p.lastLossAt+v.config.LossMemoryMs {
			p.recentLosses = 0
		}
		if p.state == Lost {
			if _, well := v.countPeerReports(p, max(p.lostAt, p.lastHintAt)); well >= v.config.MinPeers {
				p.lastHintAt = v.now
				v.changes = append(v.changes, Change{Site: at, From: Lost, To: Lost, ProbeSpreadMs: v.config.RecoveryStepMs, ProbeHint: true, SilentMs: v.now - p.lastContactAt})
			}
			continue
		}
		if p.readyServers < 2 || len(p.pendingServers) == 0 && p.state != Suspected {
			continue
		}
		failed, first := 0, math.Inf(1)
		for _, id := range p.pendingServers {
			if s := &v.servers[id]; v.hasFailed(s, p) {
				failed++
				if at := max(s.unansweredFrom(p), s.failedSentAt); at < first {
					first = at
				}
			}
		}
		need := min(v.config.MinFailedServers, p.readyServers)
		if lost, well := v.countPeerReports(p, p.lastContactAt); lost >= v.config.MinPeers && lost > well && !mutantHearsay {
			need = min(need, max(need/2, 2)) // own sight is still needed
		}
		if mutantFew {
			need = 1
		}
		switch {
		case failed >= need && (v.otherSitesAnswer(at, first, need) || mutantHearsay):
			p.recentLosses++
			p.lostAt, p.lastLossAt = v.now, v.now
			spread := v.config.ProbeIntervalMs * float64(p.readyServers)
			if mutantProbeBurst {
				spread = 0
			}
			v.changeState(at, Lost, spread)
		case failed*2 >= need && failed > 0 && p.state == Healthy:
			v.changeState(at, Suspected, 0)
		case failed*2 < need && p.state == Suspected:
			v.changeState(at, Healthy, 0)
		}
	}
	list := v.changes
	v.changes = v.changes[:0]
	return list
}
