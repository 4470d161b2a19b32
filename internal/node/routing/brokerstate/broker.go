package brokerstate

import (
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/registry"
	"kestrelspread/internal/node/routing/prompt"
)

// recentlyJoinedSpan is how long a broker counts as recently joined. Meanwhile other brokers may
// still cache the prompt parts that it owns now.
const recentlyJoinedSpan = 20 * time.Second

// Broker is what this proxy knows of one broker instance. Each proxy observes for itself; only what
// Pool.Enqueue and Broker.ObserveStep record may come from other proxies.
type Broker struct {
	// Instance is the registry's entry. Update replaces it.
	Instance *registry.Instance
	// NameHash is the hash of the instance's id, for the rendezvous order of prompt parts.
	NameHash uint64
	// Health is the broker's condition as this proxy judges it by the answers.
	Health Health

	// The fields that each placement reads are next to each other, as it reads them for all brokers
	// of a service.

	refusals    refusals
	inFlight    int     // calls of this proxy that haven't ended
	awaiting    []*Call // those whose answer hasn't begun, the oldest first
	report      loadReport
	backlog     backlog
	stepTime    float64 // average ms between two events of a stream, without the pauses for other prompts
	stepStreams int     // number of streams that stepTime was measured on
	// loadingSince is when this proxy first saw the instance marked as loading new weights.
	loadingSince core.Time
	// recentlyJoinedUntil is when the broker stops counting as recently joined; 0: it never did.
	recentlyJoinedUntil core.Time
	latencies           latencies

	// Fetches counts the broker's fetches of cached prompt parts, and the slow ones among them.
	Fetches Fetches
	// LongPrompts holds the latest long prompts that were sent to the broker.
	LongPrompts LongPrompts
}

// NewBroker returns the state of an instance about which nothing is known yet. joined means that
// the instance appeared after the first table of brokers, so it is new to the fleet and not only to
// this proxy.
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

// Update replaces the registry's entry. If the instance now has other weights, an earlier 421 or a
// refusal during a rollout no longer counts against it.
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

// JoinedRecently reports whether the broker joined the fleet recently, so that other brokers may
// still cache the prompt parts that it owns.
func (b *Broker) JoinedRecently(now core.Time) bool { return now < b.recentlyJoinedUntil }

// InFlight returns the number of this proxy's calls to the broker that haven't ended.
func (b *Broker) InFlight() int { return b.inFlight }

// AddCall records that a call is sent to the broker.
func (b *Broker) AddCall(c *Call) {
	b.inFlight++
	b.awaiting = append(b.awaiting, c)
}

// removeAwaiting removes a call from those that wait for their answer to begin, as it has begun or
// never will.
func (b *Broker) removeAwaiting(c *Call) {
	if i := slices.Index(b.awaiting, c); i >= 0 {
		b.awaiting = slices.Delete(b.awaiting, i, i+1)
	}
}

// RemoveCall records that a call has ended.
func (b *Broker) RemoveCall(c *Call) {
	b.removeAwaiting(c)
	b.inFlight--
}

// oldestAwaiting returns the call that has waited longest for its answer to begin, or nil if none
// waits.
func (b *Broker) oldestAwaiting() *Call {
	if len(b.awaiting) == 0 {
		return nil
	}
	return b.awaiting[0]
}
