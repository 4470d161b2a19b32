package zonefailure

import "math"

// State is the condition of a site as this aggregator has observed it.
type State uint8

// The states of a site.
const (
	Healthy    State = iota // the site answers
	Suspected               // at least half of the failures that make a loss have been observed
	Lost                    // no server of the site answers
	Recovering              // the site answers again, and its servers are probed in steps
)

// stateNames are the names of the states in log lines, by State.
var stateNames = [...]string{"well", "doubted", "lost", "returning"}

// String returns the state's name in log lines.
func (s State) String() string { return stateNames[s] }

// Change describes one change of a site's state, or a hint to probe a lost site.
type Change struct {
	Site int
	From State
	To   State
	// ProbeSpreadMs is the time over which the site's servers are to be probed, at random moments. For a lost site it limits the
	// rate of probes regardless of the number of servers; for a recovering one it keeps the aggregators from sending theirs at
	// the same moment.
	ProbeSpreadMs float64
	FailedServers int     // servers of the site that count as failed
	SilentMs      float64 // time since the last answer of any of the site's servers
	Isolated      bool    // no site but this aggregator's own answers, so the aggregator itself may be partitioned
	FalseAlarmMs  float64 // time since the loss that a late answer has disproved and that is to be undone; 0: no loss to undo
	ProbeHint     bool    // the state is unchanged, but peers report that the site answers again, so that it should be probed now
}

// never is the time of an event that has not happened.
var never = math.Inf(-1)

// serverState holds what has been observed of one server.
type serverState struct {
	site     int // index of the server's site; -1: none
	ready    bool
	inFlight int // number of sub-requests in flight
	// unansweredSince is when the first sub-request after the site's last contact was sent to the server, or never.
	unansweredSince float64
	lastSentAt      float64 // when the latest sub-request was sent, or never
	// failedSentAt is the latest sending time of a sub-request that failed (unreachable, reset or timed out), or never.
	failedSentAt float64
}

// newServerState returns the state of a server that belongs to no site and has been sent nothing.
func newServerState() serverState {
	return serverState{site: -1, unansweredSince: never, lastSentAt: never, failedSentAt: never}
}

// unansweredFrom returns the sending time of the sub-request that the server has left unanswered since its site's last contact,
// or never. If the site has been in contact since the sub-request was sent, other servers of the site have answered: then the
// server failed on its own, which is no evidence against the site.
func (s *serverState) unansweredFrom(site *siteState) float64 {
	switch {
	case s.unansweredSince > site.lastContactAt || mutantSiblings:
		return s.unansweredSince
	case s.lastSentAt > site.lastContactAt:
		return s.lastSentAt
	}
	return never
}

// recentAnswers is the number of answers whose sending times are kept for each site.
const recentAnswers = 16

// siteState holds what has been observed of one site, and what peers have reported of it.
type siteState struct {
	state          State
	readyServers   int
	lastContactAt  float64 // when any server of the site last answered, or never
	pendingServers []int   // servers that have had sub-requests in flight or failed since their latest answer

	lostAt       float64 // when the current or latest loss was declared
	lastLossAt   float64 // the same as lostAt, but never if the site has not been lost
	recentLosses int     // reset once the site is healthy and its latest loss older than Config.LossMemoryMs

	recoveryStartedAt float64
	recoveryStepMs    float64 // length of the current recovery step
	recoveryAnswers   int     // answers since the recovery began

	fleetShare   float64 // share, from 0 to 1, up to which the site has recovered for the whole fleet
	fleetShareAt float64 // when fleetShare was reported

	peerReports map[string]peerReport // the latest report of each peer, by the peer's name
	lastHintAt  float64               // when probes were last hinted at

	answeredSentAt [recentAnswers]float64 // ring buffer: sending times of the sub-requests that were answered last
	answerCount    int                    // answers so far; modulo recentAnswers the next index in answeredSentAt
}

// newSiteState returns the state of a healthy site without servers, whose recovery the fleet does not limit.
func newSiteState(recoveryStepMs float64) *siteState {
	return &siteState{
		lastContactAt:  never,
		lastLossAt:     never,
		recoveryStepMs: recoveryStepMs,
		fleetShare:     1,
		fleetShareAt:   never,
	}
}

// recordContact records an answer at now to a sub-request or probe that was sent at sentAt.
func (s *siteState) recordContact(now, sentAt float64) {
	s.lastContactAt = now
	s.answeredSentAt[s.answerCount%recentAnswers] = sentAt
	s.answerCount++
}

// addPending adds a server to pendingServers unless it is there already.
func (s *siteState) addPending(server int) {
	for _, pending := range s.pendingServers {
		if pending == server {
			return
		}
	}
	s.pendingServers = append(s.pendingServers, server)
}

// removePending removes a server from pendingServers if it is there.
func (s *siteState) removePending(server int) {
	for i, pending := range s.pendingServers {
		if pending == server {
			s.pendingServers = append(s.pendingServers[:i], s.pendingServers[i+1:]...)
			return
		}
	}
}
