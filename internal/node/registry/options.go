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
	ControlAddress    string
	Zone              string
	HeartbeatInterval time.Duration // about how often a broker is heard
}

const (
	// defaultHeartbeatInterval serves where the options name none.
	defaultHeartbeatInterval = 1200 * time.Millisecond

	// A broker waits a second for the answer to its heartbeat (PROTOCOL.md, "Service discovery").

	// ackTimeout is how long a home waits for the nodes' confirmations before it answers.
	ackTimeout = 500 * time.Millisecond
	// answerTimeout is by when, since a call came to this node's API, it is answered whatever happens.
	answerTimeout = 900 * time.Millisecond
	// forwardTimeout is how long a home may take to answer a forwarded call.
	forwardTimeout = 600 * time.Millisecond
	// forwardRetryInterval is the time between two sends of a forwarded call.
	forwardRetryInterval = 200 * time.Millisecond
	// broadcastRetryInterval is the time between two sends of an update to nodes that have not confirmed it.
	broadcastRetryInterval = 150 * time.Millisecond
	// broadcastTimeout ends the retries; later on digests repair what is missing.
	broadcastTimeout = 700 * time.Millisecond
	// peerBackoff is how long no answer waits for a node that confirmed nothing of an update, nor is it chosen as a home.
	peerBackoff = 2 * time.Second
	// batchDelay gathers changes that no answer waits for.
	batchDelay = 50 * time.Millisecond
	// aloneAfter is when a node that lost sight of all others acknowledges by itself.
	aloneAfter = 30 * time.Second

	// timeoutHeartbeats and silentGrace: a broker is silent after so many heartbeats and the grace.
	timeoutHeartbeats = 2.5
	timeoutGrace      = 500 * time.Millisecond
	// selfPreservationLimit is how long a home doubts itself when most of a service fell silent at once.
	selfPreservationLimit = 10 * time.Second
	// selfPreservationRecheck is the time between checks while it does.
	selfPreservationRecheck = 500 * time.Millisecond
	// selfPreservationMinBrokers is the number of brokers from which on most of them can be told from some.
	selfPreservationMinBrokers = 3
	// stallLimit: a node that acts this much later than it meant to was stopped, and judges no silence of that time.
	stallLimit = time.Second
	// unresponsiveRetention is when a silent broker is dropped.
	unresponsiveRetention = 30 * time.Second
	// refuteInterval bounds how often a node contradicts that a broker it hears is silent.
	refuteInterval = time.Second

	// tombstoneRetention is how long a broker that has gone is remembered, so that no late message revives it.
	tombstoneRetention = 60 * time.Second
	// maxTombstones bounds their number.
	maxTombstones = 4096
	// loadingTimeout is when a loading mark that nobody took away no longer keeps requests from a broker.
	loadingTimeout = 60 * time.Second

	// pollInterval is the time between two comparisons of digests.
	pollInterval = time.Second
	// pollTimeout is when another node is asked in place of one that does not answer.
	pollTimeout = 250 * time.Millisecond
	// initialPollInterval and firstPollPeers: how a node without entries asks for them.
	initialPollInterval = 100 * time.Millisecond
	initialPollPeers    = 2
	maxInitialPolls     = 20
	// maxInstancesPerMessage bounds the size of one message.
	maxInstancesPerMessage = 256
	// warmUpTolerance is by how much the end of a cold start may move before the table is told.
	warmUpTolerance = 500 * time.Millisecond
)

// distantPast is before everything that a node has seen.
const distantPast core.Time = -1 << 62

func (o Options) heartbeatInterval() time.Duration {
	if o.HeartbeatInterval <= 0 {
		return defaultHeartbeatInterval
	}
	return o.HeartbeatInterval
}

// heartbeatTimeout is how long a broker may go unheard.
func (o Options) heartbeatTimeout() time.Duration {
	return time.Duration(timeoutHeartbeats*float64(o.heartbeatInterval())) + timeoutGrace
}
