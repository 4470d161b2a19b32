package zonefailure

import "math"

// State is what a broker believes of a site.
type State uint8

// The states of a site.
const (
	Healthy    State = iota
	Suspected        // half of the failures that make a loss were observed
	Lost             // nothing of it answers
	Recovering       // it answers again, and its servers are probed in steps
)

// stateNames are the words of the log.
var stateNames = [...]string{"well", "doubted", "lost", "returning"}

// String returns the state's word in the log.
func (s State) String() string { return stateNames[s] }

// Change is one change of a site's state, or a hint to probe it.
type Change struct {
	Site int
	From State
	To   State
	// ProbeSpreadMs is the time over which the site's servers are to be probed, at random moments: of a lost site so that
	// probes stay few however many servers it has, of a recovering one so that brokers don't come all at once.
	ProbeSpreadMs float64
	FailedServers int     // servers that failed together
	SilentMs      float64 // since the last answer of any of the site's servers
	Isolated      bool    // only this broker's own site answers: it may be this broker that is partitioned
	FalseAlarmMs  float64 // age of a loss that was none and has to be undone; 0: nothing has
	ProbeHint     bool    // no change of state, but peers report answers again: probes are worth while now
}

// never is the time of what hasn't happened.
var never = math.Inf(-1)

// serverState is what is known of one server.
type serverState struct {
	site     int // -1: none
	ready    bool
	inFlight int // sub-requests
	// unansweredSince is when the first sub-request after the site's last contact was sent, or never.
	unansweredSince float64
	lastSentAt      float64
	// failedSentAt is when the latest sub-request was sent that failed for good (unreachable, reset, timed out), or never.
	failedSentAt float64
}

func newServerState() serverState {
	return serverState{site: -1, unansweredSince: never, lastSentAt: never, failedSentAt: never}
}

// unansweredFrom is when that was sent which the server has not answered while its site was silent, or never. Where the site
// was in contact since, other servers of it have answered: such a server fails by itself.
func (s *serverState) unansweredFrom(site *siteState) float64 {
	switch {
	case s.unansweredSince > site.lastContactAt || mutantSiblings:
		return s.unansweredSince
	case s.lastSentAt > site.lastContactAt:
		return s.lastSentAt
	}
	return never
}

// recentAnswers is how many answers of a site are remembered.
const recentAnswers = 16

// siteState is what is known of one site.
type siteState struct {
	state          State
	readyServers   int
	lastContactAt  float64 // the latest answer of any of its servers
	pendingServers []int   // with something in flight, or failed, since their latest answer

	lostAt       float64
	lastLossAt   float64
	recentLosses int // within Config.LossMemoryMs

	recoveryStartedAt float64
	recoveryStepMs    float64
	recoveryAnswers   int

	fleetShare   float64 // the fleet's share of its recovery, reported as of fleetShareAt
	fleetShareAt float64

	peerReports map[string]peerReport // by peer
	lastHintAt  float64

	answeredSentAt [recentAnswers]float64 // a ring: when the sub-requests were sent that it answered last
	answerCount    int
}

func newSiteState(recoveryStepMs float64) *siteState {
	return &siteState{
		lastContactAt:  never,
		lastLossAt:     never,
		recoveryStepMs: recoveryStepMs,
		fleetShare:     1,
		fleetShareAt:   never,
	}
}

// recordContact takes up an answer to what was sent at sentAt.
func (s *siteState) recordContact(now, sentAt float64) {
	s.lastContactAt = now
	s.answeredSentAt[s.answerCount%recentAnswers] = sentAt
	s.answerCount++
}

func (s *siteState) addPending(server int) {
	for _, pending := range s.pendingServers {
		if pending == server {
			return
		}
	}
	s.pendingServers = append(s.pendingServers, server)
}

func (s *siteState) removePending(server int) {
	for i, pending := range s.pendingServers {
		if pending == server {
			s.pendingServers = append(s.pendingServers[:i], s.pendingServers[i+1:]...)
			return
		}
	}
}
