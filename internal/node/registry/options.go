package registry

import (
	"time"

	"kestrelspread/internal/node/core"
)

// Options configure a registry.
type Options struct {
	SelfID      string // node id
	SelfAddress string // internal address, IP:port
	// ControlAddress is where brokers reach this node's API (IP:port). A node without one is never
	// named to brokers as the destination of their next heartbeat.
	ControlAddress string
	Zone           string
	// HeartbeatInterval is the expected time between two heartbeats of a broker; 0 or less:
	// defaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// PersistsLeaving: this node has a disk, and its shell carries out core.SaveLeaving. Without it
	// the node can't outlive its process, and acknowledges updates as they arrive.
	PersistsLeaving bool
}

const (
	// defaultHeartbeatInterval is used when Options.HeartbeatInterval is not set.
	defaultHeartbeatInterval = 1200 * time.Millisecond

	// The limits on answers follow from the second that a broker waits for the answer to its
	// heartbeat (PROTOCOL.md, "Service discovery").

	// ackTimeout is how long a home waits for acknowledgements of other nodes before it answers.
	ackTimeout = 500 * time.Millisecond
	// answerTimeout, counted from when a call reached this node's API, is when it is answered in
	// any case.
	answerTimeout = 900 * time.Millisecond
	// forwardTimeout is how long a home may take to answer a forwarded call.
	forwardTimeout = 600 * time.Millisecond
	// forwardRetryInterval is the time between two sends of a forwarded call.
	forwardRetryInterval = 200 * time.Millisecond
	// broadcastRetryInterval is the time between two sends of an update to nodes that have not
	// acknowledged it.
	broadcastRetryInterval = 150 * time.Millisecond
	// broadcastTimeout ends the retries; afterwards anti-entropy repairs what is missing.
	broadcastTimeout = 700 * time.Millisecond
	// peerBackoff is how long a node that left an update or a call without an answer is neither
	// waited for nor chosen as a home.
	peerBackoff = 2 * time.Second
	// saveRetryInterval is the time until a failed write of leaving brokers is repeated.
	saveRetryInterval = 200 * time.Millisecond
	// leavingSendPeriod is how long a node tells the nodes that it learns of which brokers its disk
	// named as leaving at its start, or were acknowledged here as leaving.
	leavingSendPeriod = 10 * time.Second
	// batchDelay collects changes that no answer waits for into one broadcast.
	batchDelay = 50 * time.Millisecond

	// timeoutHeartbeats and timeoutGrace: a broker is unresponsive after this many heartbeat
	// intervals plus the grace without a heartbeat.
	timeoutHeartbeats = 2.5
	timeoutGrace      = 500 * time.Millisecond
	// selfPreservationLimit is how long a home delays marking brokers when most of a topic timed
	// out at once, as the fault is then probably its own.
	selfPreservationLimit = 10 * time.Second
	// selfPreservationRecheck is the time between checks during self-preservation.
	selfPreservationRecheck = 500 * time.Millisecond
	// selfPreservationMinBrokers: topics with fewer brokers have no self-preservation, as a
	// majority of one or two brokers may well crash at once.
	selfPreservationMinBrokers = 3
	// stallLimit: a node whose tick comes this much after its deadline was stopped; heartbeats
	// missed in that time count for nothing.
	stallLimit = time.Second
	// unresponsiveRetention is how long an unresponsive broker is kept before it is dropped.
	unresponsiveRetention = 30 * time.Second
	// refuteInterval bounds how often a node refutes that a broker it receives heartbeats of is
	// unresponsive.
	refuteInterval = time.Second

	// tombstoneRetention is how long a gone broker is remembered, so that no late message revives it.
	tombstoneRetention = 60 * time.Second
	// maxTombstones bounds the number of tombstones; the oldest is dropped first.
	maxTombstones = 4096
	// loadingTimeout is when a loading mark that was never cleared expires.
	loadingTimeout = 60 * time.Second

	// pollInterval is the time between two comparisons of digests.
	pollInterval = time.Second
	// pollTimeout is when another node is polled in place of one that does not answer.
	pollTimeout = 250 * time.Millisecond
	// initialPollInterval is the time between the polls of a node that has not synced yet; each
	// goes to initialPollPeers nodes. After maxInitialPolls it takes the fleet to have no entries.
	initialPollInterval = 100 * time.Millisecond
	initialPollPeers    = 2
	maxInitialPolls     = 20
	// maxInstancesPerMessage bounds the size of one message.
	maxInstancesPerMessage = 256
	// warmUpTolerance is by how much the end of a broker's warm-up may move before the table is
	// rebuilt. Each heartbeat moves it by the latency of that heartbeat.
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

// heartbeatTimeout is the time without a heartbeat after which a broker is unresponsive.
func (o Options) heartbeatTimeout() time.Duration {
	return time.Duration(timeoutHeartbeats*float64(o.heartbeatInterval())) + timeoutGrace
}
