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

// MaxHintsPerSecond is what a proxy hears at the most. One hint takes some 40 bytes.
const MaxHintsPerSecond = 800

const (
	// collectDelay is how long a proxy's hints wait for others to go with them.
	collectDelay = 5 * time.Millisecond
	// batchDelayPerDestination times the nodes that a relay sends to is how long it collects, within the bounds below.
	batchDelayPerDestination = time.Millisecond
	minBatchDelay            = 5 * time.Millisecond
	maxBatchDelay            = 40 * time.Millisecond
	// maxHintsPerMessage bounds the hints of one message that are looked at.
	maxHintsPerMessage = 1024
	// burstPeriod is for how long an idle relay saves up what it may pass on.
	burstPeriod = 200 * time.Millisecond
)

// Options of a Spreader.
type Options struct {
	SelfID string // node id
	Zone   string
	Random *rand.Rand
	// MaxHintsPerSecond bounds what a relay passes on to each node; 0: the constant of that name.
	MaxHintsPerSecond int
}

// queuedHint is a hint at a relay.
type queuedHint struct {
	hint        *nodepb.LoadHint
	origin      string // internal address of the proxy that sent it here; empty: this node, or another relay
	fromOwnZone bool   // it came from this zone, so that the other relays are to hear of it
}

// Disseminator is the state machine of one node. It is not safe for concurrent use.
type Disseminator struct {
	options Options

	relayAddress   string   // internal address of the zone's relay; empty: this node, or nobody else is there
	proxyAddresses []string // at a relay: addresses of the other proxies of the zone
	relayAddresses []string // at a relay: addresses of those of the other zones

	collected       []*nodepb.LoadHint // of this node, for the relay
	collectDeadline core.Time          // when they go
	queue           []queuedHint
	batchDeadline   core.Time
	tokens          float64 // hints that may be passed on
	refilledAt      core.Time

	outputs []core.Output
}

// New returns a Spreader that knows no other node.
func New(options Options) *Disseminator {
	if options.MaxHintsPerSecond <= 0 {
		options.MaxHintsPerSecond = MaxHintsPerSecond
	}
	return &Disseminator{
		options: options, collectDeadline: core.Never, batchDeadline: core.Never,
		tokens: float64(options.MaxHintsPerSecond) * burstPeriod.Seconds(),
	}
}

// SetMembers tells the nodes that are alive or suspected. This node may be among them.
func (s *Disseminator) SetMembers(_ core.Time, members []*nodepb.Member) {
	byZone := map[string][]*nodepb.Member{}
	for _, member := range members {
		if member.ServesFront && member.State == nodepb.MemberState_ALIVE {
			byZone[member.Zone] = append(byZone[member.Zone], member)
		}
	}
	own := relayOfZone(s.options.Zone, byZone[s.options.Zone])
	s.relayAddress, s.proxyAddresses, s.relayAddresses = "", nil, nil
	if own != nil && own.NodeId != s.options.SelfID {
		s.relayAddress = own.Address
		return
	}
	for _, member := range byZone[s.options.Zone] {
		if member.NodeId != s.options.SelfID {
			s.proxyAddresses = append(s.proxyAddresses, member.Address)
		}
	}
	for zone, proxies := range byZone {
		if zone != s.options.Zone {
			s.relayAddresses = append(s.relayAddresses, relayOfZone(zone, proxies).Address)
		}
	}
	slices.Sort(s.relayAddresses)
}

// relayOfZone is the relay of a zone: one of its machines with a disk, which are the larger ones, where there are some.
func relayOfZone(zone string, proxies []*nodepb.Member) *nodepb.Member {
	counting := slices.DeleteFunc(slices.Clone(proxies), func(m *nodepb.Member) bool { return !m.CountsForQuorum })
	if len(counting) > 0 {
		proxies = counting
	}
	if len(proxies) == 0 {
		return nil
	}
	return rendezvous.Best("load-hints/"+zone, proxies, func(m *nodepb.Member) string { return m.NodeId })
}

// destinationCount is how many nodes this relay sends to.
func (s *Disseminator) destinationCount() int { return len(s.proxyAddresses) + len(s.relayAddresses) }

// RecordSent takes what this node's proxy has sent to a broker.
func (s *Disseminator) RecordSent(now core.Time, hint *nodepb.LoadHint) {
	if s.relayAddress == "" {
		s.enqueue(now, queuedHint{hint: hint, fromOwnZone: true})
		return
	}
	s.collected = append(s.collected, hint)
	s.collectDeadline = min(s.collectDeadline, now+collectDelay)
}

func (s *Disseminator) enqueue(now core.Time, waiting queuedHint) {
	if s.destinationCount() == 0 {
		return
	}
	s.queue = append(s.queue, waiting)
	if s.batchDeadline == core.Never {
		s.batchDeadline = now + min(max(time.Duration(s.destinationCount())*batchDelayPerDestination, minBatchDelay), maxBatchDelay)
	}
}

// Receive takes hints of another node. Those that come here as to a relay while this node knows of another one are used, and not
// passed on.
func (s *Disseminator) Receive(now core.Time, from core.Peer, message *nodepb.LoadHints) []core.Output {
	hints := message.Hints[:min(len(message.Hints), maxHintsPerMessage)]
	s.outputs = append(s.outputs, core.LoadHinted{Hints: hints})
	if s.relayAddress == "" && message.Hop != nodepb.LoadHintHop_TO_PROXY {
		ofZone := message.Hop == nodepb.LoadHintHop_TO_RELAY
		for _, hint := range hints {
			waiting := queuedHint{hint: hint, fromOwnZone: ofZone}
			if ofZone {
				waiting.origin = from.Address
			}
			s.enqueue(now, waiting)
		}
	}
	return s.takeOutputs()
}

// Tick sends what has waited long enough.
func (s *Disseminator) Tick(now core.Time) []core.Output {
	if s.collectDeadline <= now {
		s.sendCollected()
	}
	if s.batchDeadline <= now {
		s.sendBatch(now)
	}
	return s.takeOutputs()
}

// Deadline is when Tick is next due.
func (s *Disseminator) Deadline() core.Time { return min(s.collectDeadline, s.batchDeadline) }

func (s *Disseminator) sendCollected() {
	if s.relayAddress != "" {
		s.send(s.relayAddress, nodepb.LoadHintHop_TO_RELAY, s.collected)
	}
	s.collected = nil
	s.collectDeadline = core.Never
}

func (s *Disseminator) sendBatch(now core.Time) {
	if !s.sample(now) {
		s.batchDeadline = now + time.Second/time.Duration(s.options.MaxHintsPerSecond)
		return
	}
	for _, proxy := range s.proxyAddresses {
		s.send(proxy, nodepb.LoadHintHop_TO_PROXY, s.selectHints(func(w *queuedHint) bool { return w.origin != proxy }))
	}
	ofZone := s.selectHints(func(w *queuedHint) bool { return w.fromOwnZone })
	for _, relay := range s.relayAddresses {
		s.send(relay, nodepb.LoadHintHop_BETWEEN_RELAYS, ofZone)
	}
	s.queue = s.queue[:0]
	s.batchDeadline = core.Never
}

// selectHints lists the waiting hints for which the condition holds.
func (s *Disseminator) selectHints(holds func(*queuedHint) bool) []*nodepb.LoadHint {
	hints := make([]*nodepb.LoadHint, 0, len(s.queue))
	for i := range s.queue {
		if holds(&s.queue[i]) {
			hints = append(hints, s.queue[i].hint)
		}
	}
	return hints
}

// sample leaves no more hints than may be passed on, picked by chance; each stands for some that are left out. false: none may be just
// now.
func (s *Disseminator) sample(now core.Time) bool {
	rate := float64(s.options.MaxHintsPerSecond)
	s.tokens = min(s.tokens+rate*(now-s.refilledAt).Seconds(), rate*burstPeriod.Seconds())
	s.refilledAt = now
	count := len(s.queue)
	keep := min(count, int(s.tokens))
	s.tokens -= float64(keep)
	if keep == count || keep == 0 {
		return keep > 0
	}
	s.options.Random.Shuffle(count, func(i, j int) { s.queue[i], s.queue[j] = s.queue[j], s.queue[i] })
	s.queue = s.queue[:keep]
	for i := range s.queue {
		s.queue[i].hint = scaled(s.queue[i].hint, float64(count)/float64(keep))
	}
	return true
}

// scaled is a hint that stands for `times` as many.
func scaled(hint *nodepb.LoadHint, times float64) *nodepb.LoadHint {
	unread := min(float64(hint.Unread)*times, math.MaxUint32)
	return &nodepb.LoadHint{
		Instance: hint.Instance, Salt: hint.Salt, PartIds: hint.PartIds, PartTokens: hint.PartTokens, Unread: uint32(unread),
		PauseUs: hint.PauseUs,
	}
}

func (s *Disseminator) send(to string, hop nodepb.LoadHintHop, hints []*nodepb.LoadHint) {
	if len(hints) == 0 {
		return
	}
	body := &nodepb.Envelope_LoadHints{LoadHints: &nodepb.LoadHints{Hints: hints, Hop: hop}}
	s.outputs = append(s.outputs, core.Send{To: to, Message: &nodepb.Envelope{Body: body}})
}

func (s *Disseminator) takeOutputs() []core.Output {
	taken := s.outputs
	s.outputs = nil
	return taken
}
