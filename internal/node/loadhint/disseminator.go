package loadhint

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"kestrelspread/internal/node/core"
	"kestrelspread/internal/node/nodepb"
	"kestrelspread/internal/node/rendezvous"
)

// MaxHintsPerSecond is the default limit of the hints that a relay sends to each node per second. A hint
// of a prompt with three shared parts takes 53 bytes (TestHintSize).
const MaxHintsPerSecond = 800

const (
	// collectDelay is how long a proxy collects hints before it sends them to its relay in one message.
	collectDelay = 5 * time.Millisecond
	// batchDelayPerDestination is how long a relay collects hints for a batch, for each node to which it
	// sends: this limits its messages per second. The total delay is at least minBatchDelay and at most
	// maxBatchDelay.
	batchDelayPerDestination = time.Millisecond
	minBatchDelay            = 5 * time.Millisecond
	maxBatchDelay            = 40 * time.Millisecond
	// maxHintsPerMessage is how many hints of a received message are used; further ones are ignored.
	maxHintsPerMessage = 1024
	// burstPeriod is the time in which the empty token bucket fills completely; it determines the capacity.
	burstPeriod = 200 * time.Millisecond
)

// Options configure a Disseminator.
type Options struct {
	SelfID string     // node id
	Zone   string     // of this node
	Random *rand.Rand // selects the hints of a sample
	// MaxHintsPerSecond limits the hints that a relay sends to each node per second; 0 or less means the
	// constant of the same name.
	MaxHintsPerSecond int
}

// queuedHint is a hint that a relay is about to forward.
type queuedHint struct {
	hint        *nodepb.LoadHint
	origin      string // internal address of the proxy of this zone that sent it; empty: this node or another relay
	fromOwnZone bool   // a proxy of this zone sent it, so it is forwarded to the other relays too
}

// Disseminator distributes load hints: it is the state machine of one node, which may be the relay of its
// zone. It is not safe for concurrent use.
type Disseminator struct {
	options Options

	relayAddress   string   // internal address of the zone's relay; empty: this node is the relay
	proxyAddresses []string // relay only: internal addresses of the other proxies of its zone
	relayAddresses []string // relay only: internal addresses of the other zones' relays

	collected       []*nodepb.LoadHint // hints of this node that are to be sent to its relay
	collectDeadline core.Time          // when collected is sent; core.Never if it is empty
	queue           []queuedHint       // relay only: hints of the next batch
	batchDeadline   core.Time          // when the queue is sent; core.Never if it is empty
	bucketTokens    float64            // fill level of the token bucket: hints that may be sent to each node now
	refilledAt      core.Time          // when bucketTokens was last updated

	outbox core.Outbox
}

// New returns a Disseminator that knows no other nodes yet.
func New(options Options) *Disseminator {
	if options.MaxHintsPerSecond <= 0 {
		options.MaxHintsPerSecond = MaxHintsPerSecond
	}
	return &Disseminator{
		options: options, collectDeadline: core.Never, batchDeadline: core.Never,
		bucketTokens: float64(options.MaxHintsPerSecond) * burstPeriod.Seconds(),
	}
}

// SetMembers sets the members of the fleet, which may include this node, and chooses the relays. Only
// proxies that are alive and not suspected take part.
func (d *Disseminator) SetMembers(_ core.Time, members []*nodepb.Member) {
	byZone := map[string][]*nodepb.Member{}
	for _, member := range members {
		if member.ServesFront && member.State == nodepb.MemberState_ALIVE {
			byZone[member.Zone] = append(byZone[member.Zone], member)
		}
	}
	own := relayOfZone(d.options.Zone, byZone[d.options.Zone])
	d.relayAddress, d.proxyAddresses, d.relayAddresses = "", nil, nil
	if own != nil && own.NodeId != d.options.SelfID {
		d.relayAddress = own.Address
		return
	}
	for _, member := range byZone[d.options.Zone] {
		if member.NodeId != d.options.SelfID {
			d.proxyAddresses = append(d.proxyAddresses, member.Address)
		}
	}
	for zone, proxies := range byZone {
		if zone != d.options.Zone {
			d.relayAddresses = append(d.relayAddresses, relayOfZone(zone, proxies).Address)
		}
	}
	slices.Sort(d.relayAddresses)
}

// relayOfZone chooses the relay of a zone by rendezvous hashing, nil if the zone has no proxies. It
// prefers proxies that count for the quorum, as these run on the larger machines. All nodes must use the
// same hash key, so that they agree on the relay.
func relayOfZone(zone string, proxies []*nodepb.Member) *nodepb.Member {
	quorumProxies := slices.DeleteFunc(slices.Clone(proxies), func(m *nodepb.Member) bool { return !m.CountsForQuorum })
	if len(quorumProxies) > 0 {
		proxies = quorumProxies
	}
	if len(proxies) == 0 {
		return nil
	}
	return rendezvous.Best("load-hints/"+zone, proxies, func(m *nodepb.Member) string { return m.NodeId })
}

// destinationCount returns the number of nodes to which this relay sends.
func (d *Disseminator) destinationCount() int { return len(d.proxyAddresses) + len(d.relayAddresses) }

// RecordSent schedules the dissemination of a hint: this node's proxy has sent a request to a broker.
func (d *Disseminator) RecordSent(now core.Time, hint *nodepb.LoadHint) {
	if d.relayAddress == "" {
		d.enqueue(now, queuedHint{hint: hint, fromOwnZone: true})
		return
	}
	d.collected = append(d.collected, hint)
	d.collectDeadline = min(d.collectDeadline, now+collectDelay)
}

// batchDelay returns how long this relay collects hints for a batch.
func (d *Disseminator) batchDelay() time.Duration {
	delay := time.Duration(d.destinationCount()) * batchDelayPerDestination
	return min(max(delay, minBatchDelay), maxBatchDelay)
}

// enqueue adds a hint to this relay's queue, and starts a batch if none is pending. Without destinations
// it drops the hint.
func (d *Disseminator) enqueue(now core.Time, queued queuedHint) {
	if d.destinationCount() == 0 {
		return
	}
	d.queue = append(d.queue, queued)
	if d.batchDeadline == core.Never {
		d.batchDeadline = now + d.batchDelay()
	}
}

// Receive handles the hints of another node. If the sender takes this node for the relay but this node
// does not, it uses the hints without forwarding them.
func (d *Disseminator) Receive(now core.Time, from core.Peer, message *nodepb.LoadHints) []core.Output {
	hints := message.Hints[:min(len(message.Hints), maxHintsPerMessage)]
	d.outbox.Add(core.LoadHintsReceived{Hints: hints})
	if d.relayAddress == "" && message.Hop != nodepb.LoadHintHop_TO_PROXY {
		d.enqueueReceived(now, from, message.Hop, hints)
	}
	return d.outbox.Take()
}

// enqueueReceived adds the hints that a proxy or another relay sent to this relay's queue.
func (d *Disseminator) enqueueReceived(now core.Time, from core.Peer, hop nodepb.LoadHintHop, hints []*nodepb.LoadHint) {
	fromOwnZone := hop == nodepb.LoadHintHop_TO_RELAY
	origin := ""
	if fromOwnZone {
		origin = from.Address
	}
	for _, hint := range hints {
		d.enqueue(now, queuedHint{hint: hint, origin: origin, fromOwnZone: fromOwnZone})
	}
}

// Tick sends the hints that are due. It must be called when Deadline has passed.
func (d *Disseminator) Tick(now core.Time) []core.Output {
	if d.collectDeadline <= now {
		d.sendCollected()
	}
	if d.batchDeadline <= now {
		d.sendBatch(now)
	}
	return d.outbox.Take()
}

// Deadline returns when Tick is to be called next, or core.Never.
func (d *Disseminator) Deadline() core.Time { return min(d.collectDeadline, d.batchDeadline) }

// sendCollected sends this node's collected hints to its relay. It drops them if this node has become the
// relay since.
func (d *Disseminator) sendCollected() {
	if d.relayAddress != "" {
		d.send(d.relayAddress, nodepb.LoadHintHop_TO_RELAY, d.collected)
	}
	d.collected = nil
	d.collectDeadline = core.Never
}

// sendBatch sends the queue, or a sample of it, to all destinations. If the token bucket is empty it
// postpones the batch until the next token.
func (d *Disseminator) sendBatch(now core.Time) {
	if !d.sample(now) {
		d.batchDeadline = now + time.Second/time.Duration(d.options.MaxHintsPerSecond)
		return
	}
	for _, proxy := range d.proxyAddresses {
		fromOthers := d.selectHints(func(queued *queuedHint) bool { return queued.origin != proxy })
		d.send(proxy, nodepb.LoadHintHop_TO_PROXY, fromOthers)
	}
	fromOwnZone := d.selectHints(func(queued *queuedHint) bool { return queued.fromOwnZone })
	for _, relay := range d.relayAddresses {
		d.send(relay, nodepb.LoadHintHop_BETWEEN_RELAYS, fromOwnZone)
	}
	d.queue = d.queue[:0]
	d.batchDeadline = core.Never
}

// selectHints returns the queued hints for which the condition holds.
func (d *Disseminator) selectHints(condition func(*queuedHint) bool) []*nodepb.LoadHint {
	hints := make([]*nodepb.LoadHint, 0, len(d.queue))
	for i := range d.queue {
		if condition(&d.queue[i]) {
			hints = append(hints, d.queue[i].hint)
		}
	}
	return hints
}

// sample reduces the queue to a random sample of as many hints as the token bucket allows, with loads
// scaled up to represent the hints left out. If none is allowed now, it leaves the queue unchanged and
// returns false.
func (d *Disseminator) sample(now core.Time) bool {
	rate := float64(d.options.MaxHintsPerSecond)
	d.bucketTokens = min(d.bucketTokens+rate*(now-d.refilledAt).Seconds(), rate*burstPeriod.Seconds())
	d.refilledAt = now
	count := len(d.queue)
	keep := min(count, int(d.bucketTokens))
	d.bucketTokens -= float64(keep)
	if keep == count || keep == 0 {
		return keep > 0
	}
	d.options.Random.Shuffle(count, func(i, j int) { d.queue[i], d.queue[j] = d.queue[j], d.queue[i] })
	d.queue = d.queue[:keep]
	for i := range d.queue {
		d.queue[i].hint = scaleHint(d.queue[i].hint, float64(count)/float64(keep))
	}
	return true
}

// scaleHint returns a copy of a hint with its load multiplied by factor, to represent hints left out of a
// sample. The event interval of a stream is not a load and stays unchanged.
func scaleHint(hint *nodepb.LoadHint, factor float64) *nodepb.LoadHint {
	unread := min(float64(hint.UnreadTokens)*factor, math.MaxUint32)
	return &nodepb.LoadHint{
		Instance: hint.Instance, Salt: hint.Salt, PartIds: hint.PartIds, PartTokens: hint.PartTokens, UnreadTokens: uint32(unread),
		EventIntervalUs: hint.EventIntervalUs,
	}
}

// send adds a message with the hints to the outbox, unless there are none.
func (d *Disseminator) send(destination string, hop nodepb.LoadHintHop, hints []*nodepb.LoadHint) {
	if len(hints) == 0 {
		return
	}
	body := &nodepb.Envelope_LoadHints{LoadHints: &nodepb.LoadHints{Hints: hints, Hop: hop}}
	d.outbox.Send(destination, &nodepb.Envelope{Body: body})
}
