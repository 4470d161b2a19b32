package rollout

import (
	"hash/fnv"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// markTimeout is how long the confirmation of a mark by all nodes is awaited. After it the
	// order goes out all the same: the broker rejects, without running them, requests that still
	// arrive.
	markTimeout = time.Second
	// claimTimeout is how long a claim is awaited in the committed grant.
	claimTimeout = 2 * time.Second
	// quiesceTime lies between mark and order, so that requests on their way and those in prefill
	// can begin to run: the broker rejects whatever has not begun when the order comes.
	quiesceTime = 300 * time.Millisecond
	// maxReportAge is how old a report may be: an order that it doesn't show yet may have been
	// taken.
	maxReportAge = 600 * time.Millisecond
	// firstReportDelay lies between an accepted order and the first poll of the broker's report:
	// some brokers load faster, but reports lag behind by some hundred ms.
	firstReportDelay = 550 * time.Millisecond
	// minReportInterval lies between two polls of a loading broker; it grows up to
	// maxReportInterval.
	minReportInterval = 150 * time.Millisecond
	maxReportInterval = 500 * time.Millisecond
	// markClearTime is how long the registry may still show a mark that this machine has cleared.
	markClearTime = 3 * time.Second
	// answerTimeout is how long the end of a call is awaited from the shell, which has a shorter
	// time-out of its own.
	answerTimeout = 3 * time.Second
	// minRetryBackoff is how long a broker is left alone after a failure; it doubles with each
	// failure in a row, up to maxRetryBackoff.
	minRetryBackoff = 500 * time.Millisecond
	maxRetryBackoff = 4 * time.Second
	// maxBackoffDoublings keeps the shift from overflowing.
	maxBackoffDoublings = 10
)

// phase is how far a broker is on its way to a version. The order of the constants counts: from
// ordering on an order may have been taken.
type phase uint8

const (
	idle      phase = iota // nothing is in progress
	claiming               // the grant does not name the broker yet
	marking                // marked; not all nodes have confirmed
	quiescing              // marked everywhere; requests on their way may still begin
	ordering               // the order is out
	loading                // the order was accepted
	verifying              // an order may have been taken: the broker's report shows whether it was
)

// broker is what is known of one incarnation of a model broker.
type broker struct {
	instance     *nodepb.Instance // as last seen
	sortKey      uint64           // order among the brokers of a service, the same at all nodes
	lastSeenStep uint64           // number of the step whose situation last had it

	phase            phase
	targetModel      string // what is being loaded
	targetVersion    uint64
	observedVersions map[string]uint64 // by model: versions that this node has seen there

	marked         bool
	markedAt       core.Time
	unmarkedAt     core.Time // when this machine last cleared the mark; 0: never
	phaseDeadline  core.Time // when the phase ends by itself
	callToken      uint64    // of the call in flight; 0: none
	callSentAt     core.Time
	reportInterval time.Duration
	conclusiveAt   core.Time // a report asked for from then on shows any order that was taken
	orderUncertain bool      // an order may have been taken, and no report has shown it since
	failures       int       // in a row
	retryAt        core.Time // end of the backoff
}

func newBroker(instance *nodepb.Instance) *broker {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instance.Id))
	return &broker{instance: instance, sortKey: hash.Sum64()}
}

// versionOf is the newest version of a model that the broker is known to have.
func (b *broker) versionOf(model *nodepb.ModelOnInstance) uint64 {
	return max(model.Version, b.observedVersions[model.Name])
}

func (b *broker) observeVersion(model string, version uint64) {
	if b.observedVersions == nil {
		b.observedVersions = map[string]uint64{}
	}
	b.observedVersions[model] = max(b.observedVersions[model], version)
}

// hasTarget reports whether the broker is known, by its heartbeats or reports, to have the version
// being loaded.
func (b *broker) hasTarget() bool {
	for _, model := range b.instance.Models {
		if model.Name == b.targetModel {
			return b.versionOf(model) >= b.targetVersion
		}
	}
	return b.observedVersions[b.targetModel] >= b.targetVersion
}

// inProgress reports whether the rollout is in progress at the broker.
func (b *broker) inProgress() bool { return b.phase != idle }

// hasForeignMark reports whether the registry shows a mark that this machine has not set, or has
// cleared.
func (b *broker) hasForeignMark() bool { return b.instance.LoadingFencingToken != 0 && !b.marked }

// foreignMarkCountsAt is when a foreign mark counts as another holder's: one that this machine has
// just cleared may show for a while.
func (b *broker) foreignMarkCountsAt() core.Time {
	if b.unmarkedAt == 0 {
		return 0
	}
	return b.unmarkedAt + markClearTime
}

// backOff ends the broker's turn and leaves it alone for a while, longer after each failure in a
// row.
func (b *broker) backOff(now core.Time) {
	delay := minRetryBackoff << min(b.failures, maxBackoffDoublings)
	b.failures++
	b.retryAt = now + min(delay, maxRetryBackoff)
	b.phase = idle
}

// verifyAfter has the report polled once it must show whether an order that ended at orderEndedAt
// was taken.
func (b *broker) verifyAfter(orderEndedAt core.Time) {
	b.phase = verifying
	b.orderUncertain = true
	b.phaseDeadline = orderEndedAt + maxReportAge
	b.conclusiveAt = b.phaseDeadline
	b.reportInterval = minReportInterval
}

// orderAccepted begins the wait for a load that the broker has accepted.
func (b *broker) orderAccepted(now core.Time) {
	b.phase = loading
	b.orderUncertain = true
	b.failures = 0
	b.reportInterval = minReportInterval
	b.phaseDeadline = now + firstReportDelay
	b.conclusiveAt = now + maxReportAge
}

// scheduleReport has the report polled again after an interval that grows by a quarter each time.
func (b *broker) scheduleReport(now core.Time) {
	b.phaseDeadline = now + b.reportInterval
	b.reportInterval = min(b.reportInterval*5/4, maxReportInterval)
}

// setTarget names what is to be loaded next.
func (b *broker) setTarget(missing missingVersion) {
	b.targetModel, b.targetVersion = missing.model, missing.version
}

// quiesce begins the span in which requests on their way may still begin.
func (b *broker) quiesce(now core.Time) {
	b.phase = quiescing
	b.phaseDeadline = now + quiesceTime
}

// deadline is when the broker next needs a step; core.Never: it needs none.
func (b *broker) deadline() core.Time {
	switch {
	case b.phase == idle:
		return core.Never
	case b.callToken != 0:
		return b.callSentAt + answerTimeout
	default:
		return b.phaseDeadline
	}
}
