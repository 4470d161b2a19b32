package registry

import (
	"time"

	"kestrelspread/internal/node/core"
)

// Options are what a registry is told at its start.
type Options struct {
	SelfID      string
	SelfAddress string // internal address
	// ControlAddress is where brokers reach this node's API (IP:port); empty: this node names itself to no broker.
	ControlAddress string
	Zone           string
	Heartbeat      time.Duration // about how often a broker is heard
}

const (
	// defaultHeartbeat serves where the options name none.
	defaultHeartbeat = 1200 * time.Millisecond

	// A broker waits a second for the answer to its heartbeat (PROTOCOL.md, "Service discovery").

	// confirmLimit is how long a home waits for the nodes' confirmations before it answers.
	confirmLimit = 500 * time.Millisecond
	// answerLimit is by when, since a call came to this node's API, it is answered whatever happens.
	answerLimit = 900 * time.Millisecond
	// forwardLimit is how long a home may take to answer a forwarded call.
	forwardLimit = 600 * time.Millisecond
	// forwardRetry is the time between two sends of a forwarded call.
	forwardRetry = 200 * time.Millisecond
	// updateRetry is the time between two sends of an update to nodes that have not confirmed it.
	updateRetry = 150 * time.Millisecond
	// updateLimit ends the retries; later on digests repair what is missing.
	updateLimit = 700 * time.Millisecond
	// unresponsiveFor is how long no answer waits for a node that confirmed nothing of an update, nor is it chosen as a home.
	unresponsiveFor = 2 * time.Second
	// batchDelay gathers changes that no answer waits for.
	batchDelay = 50 * time.Millisecond
	// aloneAfter is when a node that lost sight of all others acknowledges by itself.
	aloneAfter = 30 * time.Second

	// silentBeats and silentGrace: a broker is silent after so many heartbeats and the grace.
	silentBeats = 2.5
	silentGrace = 500 * time.Millisecond
	// doubtLimit is how long a home doubts itself when most of a service fell silent at once.
	doubtLimit = 10 * time.Second
	// doubtRecheck is the time between checks while it does.
	doubtRecheck = 500 * time.Millisecond
	// doubtMinimum is the number of brokers from which on most of them can be told from some.
	doubtMinimum = 3
	// stallLimit: a node that acts this much later than it meant to was stopped, and judges no silence of that time.
	stallLimit = time.Second
	// forgetSilentAfter is when a silent broker is dropped.
	forgetSilentAfter = 30 * time.Second
	// refuteEvery bounds how often a node contradicts that a broker it hears is silent.
	refuteEvery = time.Second

	// tombstoneLife is how long a broker that has gone is remembered, so that no late message revives it.
	tombstoneLife = 60 * time.Second
	// tombstoneLimit bounds their number.
	tombstoneLimit = 4096
	// loadingLimit is when a loading mark that nobody took away no longer keeps requests from a broker.
	loadingLimit = 60 * time.Second

	// pollInterval is the time between two comparisons of digests.
	pollInterval = time.Second
	// pollAnswerLimit is when another node is asked in place of one that does not answer.
	pollAnswerLimit = 250 * time.Millisecond
	// firstPollRetry and firstPollPeers: how a node without entries asks for them.
	firstPollRetry = 100 * time.Millisecond
	firstPollPeers = 2
	firstPollTries = 20
	// instancesPerMessage bounds the size of one message.
	instancesPerMessage = 256
	// coldTolerance is by how much the end of a cold start may move before the table is told.
	coldTolerance = 500 * time.Millisecond
)

// distantPast is before everything that a node has seen.
const distantPast core.Time = -1 << 62

func (o Options) heartbeat() time.Duration {
	if o.Heartbeat <= 0 {
		return defaultHeartbeat
	}
	return o.Heartbeat
}

// silentAfter is how long a broker may go unheard.
func (o Options) silentAfter() time.Duration {
	return time.Duration(silentBeats*float64(o.heartbeat())) + silentGrace
}
