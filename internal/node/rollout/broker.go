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
	// settleTime is kept between the mark and the order, so that requests on their way and those whose prompts are just
	// read can begin: whatever has not begun when the order comes is turned away.
	settleTime = 300 * time.Millisecond
	// reportLag is how old a report may be: what it does not show yet may still have been taken.
	reportLag = 600 * time.Millisecond
	// firstReport is how long after an order was taken the broker is first asked whether it has the version: some load faster, but
	// reports lag behind by some hundred ms.
	firstReport = 550 * time.Millisecond
	// reportPause lies between two reports of a broker that is loading.
	reportPause = 150 * time.Millisecond
	// longestReportPause bounds it for brokers that take long.
	longestReportPause = 500 * time.Millisecond
	// strayTime is how long a mark may still show that this machine has taken away.
	strayTime = 3 * time.Second
	// answerTimeout is how long the shell's own end of a call is waited for.
	answerTimeout = 3 * time.Second
	// firstRetry is how long a broker that could not be ordered is left alone; it doubles up to lastRetry.
	firstRetry = 500 * time.Millisecond
	lastRetry  = 4 * time.Second
)

// phase is how far a broker is on its way to a version.
type phase uint8

const (
	waiting  phase = iota // nothing is under way
	claiming              // the grant is to name it
	marking               // marked; not all nodes have confirmed
	settling              // marked everywhere; what is on its way may still begin
	ordering              // the order is out
	loading               // the order was taken
	unsure                // an order may have been taken: its report tells
)

// broker is what is known of one life of a broker.
type broker struct {
	instance *nodepb.Instance // as last seen
	hash     uint64           // order among the brokers of a service
	seen     uint64           // the step that last saw it

	phase   phase
	model   string // being brought
	version uint64
	loaded  map[string]uint64 // versions that this node has seen there

	markedAt core.Time
	nextAt   core.Time // when the phase goes on by itself
	token    uint64    // of the call that is out; 0: none
	askedAt  core.Time // when that call went out
	pause    time.Duration
	showsAt  core.Time // from when on a report shows any order that was taken
	inDoubt  bool      // an order may have been taken, and no report has told since
	failures int
	retryAt  core.Time
	marked   bool
	// unmarkedAt is when this machine last took the mark away.
	unmarkedAt core.Time
}

func newBroker(instance *nodepb.Instance) *broker {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instance.Id))
	return &broker{instance: instance, hash: hash.Sum64()}
}

// versionOf is the newest version of a model that the broker is known to have.
func (b *broker) versionOf(model *nodepb.ModelOnInstance) uint64 {
	return max(model.Version, b.loaded[model.Name])
}

func (b *broker) hasLoaded(model string, version uint64) {
	if b.loaded == nil {
		b.loaded = map[string]uint64{}
	}
	b.loaded[model] = max(b.loaded[model], version)
}

// has reports whether the broker is known to have the version that is being brought, by its heartbeats or reports.
func (b *broker) has() bool {
	for _, model := range b.instance.Models {
		if model.Name == b.model {
			return b.versionOf(model) >= b.version
		}
	}
	return b.loaded[b.model] >= b.version
}

// busy reports whether the broker is out of service for the duty.
func (b *broker) busy() bool { return b.phase != waiting }

// strayMark reports whether the broker shows a mark that this machine has not set, or has taken away.
func (b *broker) strayMark() bool { return b.instance.LoadingFence != 0 && !b.marked }

// strayAt is when a stray mark counts: one that was just taken away may show for a while.
func (b *broker) strayAt() core.Time {
	if b.unmarkedAt == 0 {
		return 0
	}
	return b.unmarkedAt + strayTime
}

// postpone leaves the broker alone for a while, longer after each failure in a row.
func (b *broker) postpone(now core.Time) {
	delay := firstRetry << min(b.failures, 10)
	b.failures++
	b.retryAt = now + min(delay, lastRetry)
	b.phase = waiting
}

// doubt has the report asked once it must show whether an order that ended at `since` was taken.
func (b *broker) doubt(since core.Time) {
	b.phase = unsure
	b.inDoubt = true
	b.nextAt = since + reportLag
	b.showsAt = b.nextAt
	b.pause = reportPause
}

// deadline is when the broker needs the machine again.
func (b *broker) deadline() core.Time {
	switch {
	case b.phase == waiting:
		return core.Never
	case b.token != 0:
		return b.askedAt + answerTimeout
	default:
		return b.nextAt
	}
}
