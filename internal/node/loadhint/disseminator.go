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

// MaxHintsPerSecond bounds the hints that a relay sends to each node. A hint of a prompt with three
// shared parts takes 53 bytes (TestHintSize).
const MaxHintsPerSecond = 800

const (
	// collectDelay is how long a proxy collects its hints for one message to its relay.
	collectDelay = 5 * time.Millisecond
	// batchDelayPerDestination: a relay collects for this time per node that it sends to, which bounds
	// its messages per second; at least for minBatchDelay and at most for maxBatchDelay.
	batchDelayPerDestination = time.Millisecond
	minBatchDelay            = 5 * time.Millisecond
	maxBatchDelay            = 40 * time.Millisecond
	// maxHintsPerMessage bounds the hints of one message that are used; the rest is ignored.
	maxHintsPerMessage = 1024
	// burstPeriod is the capacity of the token bucket, as the time in which an empty one fills.
	burstPeriod = 200 * time.Millisecond
)

// Options configure a Disseminator.
type Options struct {
	SelfID string // node id
	Zone   string
	Random *rand.Rand // picks the samples
	// MaxHintsPerSecond bounds what a relay sends to each node; 0 or less: the constant of that name.
	MaxHintsPerSecond int
}

// queuedHint is a hint at a relay that is to be sent on.
type queuedHint struct {
	hint        *nodepb.LoadHint
	origin      string // internal address of the proxy that sent it; empty: this node, or another relay
	fromOwnZone bool   // it comes from this zone, so that it goes to the other relays as well
}

// Disseminator is the state machine of one node. It is not safe for concurrent use.
type Disseminator struct {
	options Options

	relayAddress   string   // internal address of the zone's relay; empty: this node is the relay
	proxyAddresses []string // at a relay: addresses of the other proxies of its zone
	relayAddresses []string // at a relay: addresses of the relays of the other zones

	collected       []*nodepb.LoadHint // hints of this node, for its relay
	collectDeadline core.Time          // when they are sent
	queue           []queuedHint       // at a relay
	batchDeadline   core.Time          // when it is sent
	bucketTokens    float64            // of the token bucket: hints that may be sent to each node now
	refilledAt      core.Time

	outbox core.Outbox
}

// New returns a Disseminator that knows no other node.
func New(options Options) *Disseminator {
	if options.MaxHintsPerSecond <= 0 {
		options.MaxHintsPerSecond = MaxHintsPerSecond
	}
	return &Disseminator{
		options: options, collectDeadline: core.Never, batchDeadline: core.Never,
		bucketTokens: float64(options.MaxHintsPerSecond) * burstPeriod.Seconds(),
	}
}

// SetMembers sets the nodes that are alive or suspected. This node may be among them. Those that are
// suspected, or no proxies, take no part.
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

// relayOfZone chooses the relay of a zone by rendezvous hashing: one of its machines of the core, which
// are the larger ones, if it has any. All nodes must use the same key.
func relayOfZone(zone string, proxies []*nodepb.Member) *nodepb.Member {
	machinesOfCore := slices.DeleteFunc(slices.Clone(proxies), func(m *nodepb.Member) bool { return !m.CountsForQuorum })
	if len(machinesOfCore) > 0 {
		proxies = machinesOfCore
	}
	if len(proxies) == 0 {
		return nil
	}
	return rendezvous.Best("load-hints/"+zone, proxies, func(m *nodepb.Member) string { return m.NodeId })
}

// destinationCount returns how many nodes this relay sends to.
func (d *Disseminator) destinationCount() int { return len(d.proxyAddresses) + len(d.relayAddresses) }

// RecordSent disseminates that this node's proxy has sent a request to a broker.
func (d *Disseminator) RecordSent(now core.Time, hint *nodepb.LoadHint) {
	if d.relayAddress == "" {
		d.enqueue(now, queuedHint{hint: hint, fromOwnZone: true})
		return
	}
	d.collected = append(d.collected, hint)
	d.collectDeadline = min(d.collectDeadline, now+collectDelay)
}

// batchDelay returns how long this relay collects for a batch.
func (d *Disseminator) batchDelay() time.Duration {
	delay := time.Duration(d.destinationCount()) * batchDelayPerDestination
	return min(max(delay, minBatchDelay), maxBatchDelay)
}

// enqueue queues a hint at a relay, and starts a batch if there is none.
func (d *Disseminator) enqueue(now core.Time, queued queuedHint) {
	if d.destinationCount() == 0 {
		return
	}
	d.queue = append(d.queue, queued)
	if d.batchDeadline == core.Never {
		d.batchDeadline = now + d.batchDelay()
	}
}

// Receive handles hints of another node. Hints sent to this node as a relay, while it takes another
// node for the relay, are used here but not sent on.
func (d *Disseminator) Receive(now core.Time, from core.Peer, message *nodepb.LoadHints) []core.Output {
	hints := message.Hints[:min(len(message.Hints), maxHintsPerMessage)]
	d.outbox.Add(core.LoadHintsReceived{Hints: hints})
	if d.relayAddress == "" && message.Hop != nodepb.LoadHintHop_TO_PROXY {
		d.enqueueReceived(now, from, message.Hop, hints)
	}
	return d.outbox.Take()
}

// enqueueReceived queues the hints that another proxy or relay sent to this relay.
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

// Tick sends the hints whose deadline has passed. It is to be called at Deadline.
func (d *Disseminator) Tick(now core.Time) []core.Output {
	if d.collectDeadline <= now {
		d.sendCollected()
	}
	if d.batchDeadline <= now {
		d.sendBatch(now)
	}
	return d.outbox.Take()
}

// Deadline is when Tick is next due.
func (d *Disseminator) Deadline() core.Time { return min(d.collectDeadline, d.batchDeadline) }

// sendCollected sends this node's hints to its relay. They are dropped if this node has become the
// relay meanwhile.
func (d *Disseminator) sendCollected() {
	if d.relayAddress != "" {
		d.send(d.relayAddress, nodepb.LoadHintHop_TO_RELAY, d.collected)
	}
	d.collected = nil
	d.collectDeadline = core.Never
}

// sendBatch sends the queue, or a sample of it, to all destinations. If no token is left it waits for
// the next one.
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

// selectHints lists the queued hints for which the condition holds.
func (d *Disseminator) selectHints(condition func(*queuedHint) bool) []*nodepb.LoadHint {
	hints := make([]*nodepb.LoadHint, 0, len(d.queue))
	for i := range d.queue {
		if condition(&d.queue[i]) {
			hints = append(hints, d.queue[i].hint)
		}
	}
	return hints
}

// sample reduces the queue to the hints that the token bucket allows, picked at random and scaled to
// stand for those left out. It reports false, and leaves the queue as it is, if none is allowed now.
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

// scaleHint returns a hint that stands for this and others like it: its load is multiplied. The pause of a
// stream is no load and stays.
func scaleHint(hint *nodepb.LoadHint, factor float64) *nodepb.LoadHint {
	unread := min(float64(hint.UnreadTokens)*factor, math.MaxUint32)
	return &nodepb.LoadHint{
		Instance: hint.Instance, Salt: hint.Salt, PartIds: hint.PartIds, PartTokens: hint.PartTokens, UnreadTokens: uint32(unread),
		EventIntervalUs: hint.EventIntervalUs,
	}
}

// send sends hints, if there are any.
func (d *Disseminator) send(destination string, hop nodepb.LoadHintHop, hints []*nodepb.LoadHint) {
	if len(hints) == 0 {
		return
	}
	body := &nodepb.Envelope_LoadHints{LoadHints: &nodepb.LoadHints{Hints: hints, Hop: hop}}
	d.outbox.Send(destination, &nodepb.Envelope{Body: body})
}
