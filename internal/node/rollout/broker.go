package rollout

import (
	"hash/fnv"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
)

const (
	// markTimeout is how long nodes are waited for that do not confirm a mark: the order goes out all the same, and what
	// they still send is turned away unrun.
	markTimeout = time.Second
	// claimTimeout is how long a claim is waited for.
	claimTimeout = 2 * time.Second
	// quiesceTime is kept between the mark and the order, so that requests on their way and those whose prompts are just
	// read can begin: whatever has not begun when the order comes is turned away.
	quiesceTime = 300 * time.Millisecond
	// maxReportAge is how old a report may be: what it does not show yet may still have been taken.
	maxReportAge = 600 * time.Millisecond
	// firstReportDelay is how long after an order was taken the broker is first asked whether it has the version: some load faster, but
	// reports lag behind by some hundred ms.
	firstReportDelay = 550 * time.Millisecond
	// minReportInterval lies between two reports of a broker that is loading.
	minReportInterval = 150 * time.Millisecond
	// maxReportInterval bounds it for brokers that take long.
	maxReportInterval = 500 * time.Millisecond
	// markClearTime is how long a mark may still show that this machine has taken away.
	markClearTime = 3 * time.Second
	// answerTimeout is how long the shell's own end of a call is waited for.
	answerTimeout = 3 * time.Second
	// minRetryBackoff is how long a broker that could not be ordered is left alone; it doubles up to lastRetry.
	minRetryBackoff = 500 * time.Millisecond
	maxRetryBackoff = 4 * time.Second
)

// phase is how far a broker is on its way to a version.
type phase uint8

const (
	idle      phase = iota // nothing is under way
	claiming               // the grant is to name it
	marking                // marked; not all nodes have confirmed
	quiescing              // marked everywhere; what is on its way may still begin
	ordering               // the order is out
	loading                // the order was taken
	verifying              // an order may have been taken: its report tells
)

// broker is what is known of one life of a broker.
type broker struct {
	instance     *nodepb.Instance // as last seen
	sortKey      uint64           // order among the brokers of a service
	lastSeenStep uint64           // the step that last saw it

	phase            phase
	targetModel      string // being brought
	targetVersion    uint64
	observedVersions map[string]uint64 // versions that this node has seen there

	markedAt       core.Time
	phaseDeadline  core.Time // when the phase goes on by itself
	callToken      uint64    // of the call that is out; 0: none
	callSentAt     core.Time // when that call went out
	reportInterval time.Duration
	conclusiveAt   core.Time // from when on a report shows any order that was taken
	orderUncertain bool      // an order may have been taken, and no report has told since
	failures       int
	retryAt        core.Time
	marked         bool
	// unmarkedAt is when this machine last took the mark away.
	unmarkedAt core.Time
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

// hasTarget reports whether the broker is known to have the version that is being brought, by its heartbeats or reports.
func (b *broker) hasTarget() bool {
	for _, model := range b.instance.Models {
		if model.Name == b.targetModel {
			return b.versionOf(model) >= b.targetVersion
		}
	}
	return b.observedVersions[b.targetModel] >= b.targetVersion
}

// inProgress reports whether the broker is out of service for the duty.
func (b *broker) inProgress() bool { return b.phase != idle }

// hasForeignMark reports whether the broker shows a mark that this machine has not set, or has taken away.
func (b *broker) hasForeignMark() bool { return b.instance.LoadingFence != 0 && !b.marked }

// foreignMarkCountsAt is when a stray mark counts: one that was just taken away may show for a while.
func (b *broker) foreignMarkCountsAt() core.Time {
	if b.unmarkedAt == 0 {
		return 0
	}
	return b.unmarkedAt + markClearTime
}

// backOff leaves the broker alone for a while, longer after each failure in a row.
func (b *broker) backOff(now core.Time) {
	delay := minRetryBackoff << min(b.failures, 10)
	b.failures++
	b.retryAt = now + min(delay, maxRetryBackoff)
	b.phase = idle
}

// verifyAfter has the report asked once it must show whether an order that ended at `since` was taken.
func (b *broker) verifyAfter(orderEndedAt core.Time) {
	b.phase = verifying
	b.orderUncertain = true
	b.phaseDeadline = orderEndedAt + maxReportAge
	b.conclusiveAt = b.phaseDeadline
	b.reportInterval = minReportInterval
}

// deadline is when the broker needs the machine again.
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
