package brokerstate

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/prompt"
)

// newFor is how long a broker counts as newly joined: others may still cache the parts of its
// prompts.
const recentlyJoinedSpan = 20 * time.Second

// Broker is what this proxy knows of one instance. Every proxy learns for itself; only what
// Pool.Enqueue and Broker.ObserveStep take in may come from other proxies.
type Broker struct {
	// Instance is the registry's entry. It is replaced by Update.
	Instance *registry.Instance
	// NameHash is the hash of the instance's id, for the rendezvous order of prompt parts.
	NameHash uint64
	// Health is what this proxy makes of the broker by its answers.
	Health Health

	// What each choice looks at stands together, as a choice looks at all brokers of a service.

	refusals    refusals
	inFlight    int     // own calls there
	awaiting    []*Call // those without an answer yet, the oldest first
	report      loadReport
	backlog     backlog
	stepTime    float64 // ms between two events of a stream while it reads no other prompt
	stepStreams int     // streams that stepTime was learnt from
	// loadingSince is when the mark that it loads new weights was first seen.
	loadingSince core.Time
	// newUntil: it has joined recently.
	recentlyJoinedUntil core.Time
	latencies           latencies

	// Fetches counts its slow fetches of cached prompt parts.
	Fetches Fetches
	// LongPrompts are the latest long prompts that were sent there.
	LongPrompts LongPrompts
}

// NewBroker makes the state of an instance that nothing is known of yet. joined: it came after the
// first table of brokers, so it is new in the fleet and not only to this proxy.
func NewBroker(now core.Time, instance *registry.Instance, joined bool) *Broker {
	b := &Broker{
		Instance:     instance,
		NameHash:     prompt.HashText(instance.ID),
		latencies:    latencies{slowLineAt: -slowLineMaxAge},
		loadingSince: now,
	}
	if joined {
		b.recentlyJoinedUntil = now + recentlyJoinedSpan
	}
	return b
}

// Update takes a newer entry of the instance: other weights end the doubt that a 421 or a refusal
// for a rollout left.
func (b *Broker) Update(now core.Time, instance *registry.Instance) {
	for model, version := range instance.Versions {
		if b.Instance.Versions[model] != version {
			b.Health.misdirectedUntil = 0
			b.refusals.rolloutUntil = 0
		}
	}
	if instance.Loading && !b.Instance.Loading {
		b.loadingSince = now
	}
	b.Instance = instance
}

// JoinedRecently reports whether the broker has joined recently, so that others may still cache the parts it
// owns.
func (b *Broker) JoinedRecently(now core.Time) bool { return now < b.recentlyJoinedUntil }

// InFlight is the number of this proxy's calls that are out there.
func (b *Broker) InFlight() int { return b.inFlight }

// CallSent takes in that a call goes out.
func (b *Broker) CallSent(c *Call) {
	b.inFlight++
	b.awaiting = append(b.awaiting, c)
}

// removeAwaiting takes a call off those that wait, as its answer has begun or won't.
func (b *Broker) removeAwaiting(c *Call) {
	if i := slices.Index(b.awaiting, c); i >= 0 {
		b.awaiting = slices.Delete(b.awaiting, i, i+1)
	}
}

// CallEnded takes in that nothing more comes of a call.
func (b *Broker) CallEnded(c *Call) {
	b.removeAwaiting(c)
	b.inFlight--
}

// oldestAwaiting is the call that has waited longest for its answer to begin, nil where none waits.
func (b *Broker) oldestAwaiting() *Call {
	if len(b.awaiting) == 0 {
		return nil
	}
	return b.awaiting[0]
}
